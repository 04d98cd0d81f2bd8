package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/moorspool/moorspool/src/rpc"
)

// PathAdmin is the path prefix of the control protocol over HTTP: a method's JSON parameters are
// sent by POST to PathAdmin + method.
const PathAdmin = "/admin/v1/"

// maxAdminBodyBytes bounds a request body of the administration API.
const maxAdminBodyBytes = 32 << 20

// stopTimeout is how long a listener may take to shut down.
const stopTimeout = 200 * time.Millisecond

// adminTimeout is how long the administration API may take to shut down. It waits for kept connections.
const adminTimeout = 100 * time.Millisecond

// admin is the server of the administration API.
type admin struct {
	hertz *server.Hertz
}

// NewServer returns a hertz server on a listener, with the settings of all of moorspool's HTTP
// listeners. Hertz's detection of disconnected clients stays off: after a failed write it still
// reads from the connection, whose buffers it has already released. A disconnected client is
// noticed at the next write.
func NewServer(ln net.Listener, maxBody int, more ...config.Option) *server.Hertz {
	hlog.SetOutput(io.Discard)
	options := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		server.WithDisablePrintRoute(true),
		server.WithReadTimeout(time.Minute),
		server.WithIdleTimeout(time.Minute),
		server.WithExitWaitTime(stopTimeout),
	}
	return server.New(append(options, more...)...)
}

// serveAdmin starts the administration API: health checks, metrics and the control protocol's
// methods.
func serveAdmin(address string, p *Process) (*admin, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := NewServer(ln, maxAdminBodyBytes)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(consts.StatusOK, "ok\n") })
	h.GET("/readyz", p.answerReady)
	metrics := p.metrics.Encoder()
	h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		p.updateGauges()
		c.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		c.Response.SetBodyRaw(metrics())
	})
	h.POST(PathAdmin+":method", p.answerAdmin)
	go func() { _ = h.Run() }()
	return &admin{hertz: h}, nil
}

// updateGauges updates the gauges of the control protocol and of the process's resources.
func (p *Process) updateGauges() {
	cost := p.cost()
	p.metrics.Gauge("control_bytes_in", float64(cost.BytesIn))
	p.metrics.Gauge("control_bytes_out", float64(cost.BytesOut))
	p.metrics.Gauge("control_messages", float64(cost.Messages))
	for _, kind := range p.meter.MethodCounts() {
		p.metrics.GaugeOf("control_messages_in_by_method", "method", kind.Method, float64(kind.MessagesIn))
		p.metrics.GaugeOf("control_bytes_in_by_method", "method", kind.Method, float64(kind.BytesIn))
		p.metrics.GaugeOf("control_messages_out_by_method", "method", kind.Method, float64(kind.MessagesOut))
		p.metrics.GaugeOf("control_bytes_out_by_method", "method", kind.Method, float64(kind.BytesOut))
	}
	p.metrics.Gauge("process_cpu_seconds", cost.CPU.Std().Seconds())
	p.metrics.Gauge("process_resident_bytes", float64(cost.Resident))
	p.metrics.Gauge("process_anonymous_bytes", float64(cost.Anonymous))
	if p.refresh != nil {
		p.refresh(p.metrics)
	}
}

func (p *Process) answerReady(_ context.Context, c *app.RequestContext) {
	if p.ready.Load() {
		c.String(consts.StatusOK, "ready\n")
		return
	}
	c.String(consts.StatusServiceUnavailable, "not ready\n")
}

func (p *Process) answerAdmin(ctx context.Context, c *app.RequestContext) {
	result, err := p.mux.Dispatch(ctx, nil, c.Param("method"), c.Request.Body())
	if err != nil {
		status := consts.StatusBadGateway
		if rpc.IsUnknownMethod(err) {
			status = consts.StatusNotFound
		}
		c.JSON(status, errorBody{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, result)
}

// errorBody is the response body of a failed method.
type errorBody struct {
	Error string `json:"error"`
}

func (a *admin) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	_ = a.hertz.Shutdown(ctx)
}
