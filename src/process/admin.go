package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/moorspool/moorspool/src/rpc"
)

// PathAdmin is where the control protocol's methods are reached over HTTP: POST
// the parameters as JSON to PathAdmin + method.
const PathAdmin = "/admin/v1/"

// maxAdminBody bounds an administration request.
const maxAdminBody = 32 << 20

// stopWait is how long a listener may take to end.
const stopWait = 200 * time.Millisecond

type admin struct {
	hertz *server.Hertz
}

// NewServer returns a hertz server on a listener, with the settings that all of
// moorspool's HTTP listeners share. The library's detection of clients that have
// gone stays off: when an answer can't be written it still reads from the
// connection whose buffers it has given away. A gone client shows at the next write.
func NewServer(ln net.Listener, maxBody int) *server.Hertz {
	hlog.SetOutput(io.Discard)
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		server.WithDisablePrintRoute(true),
		server.WithReadTimeout(time.Minute),
		server.WithIdleTimeout(time.Minute),
		server.WithExitWaitTime(stopWait),
	)
	return h
}

func serveAdmin(address string, p *Process) (*admin, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := NewServer(ln, maxAdminBody)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(consts.StatusOK, "ok\n") })
	h.GET("/readyz", p.answerReady)
	metrics := p.metrics.Handler()
	h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		p.gauges()
		c.SetContentType("text/plain; version=0.0.4; charset=utf-8")
		c.Response.SetBodyRaw(metrics())
	})
	h.POST(PathAdmin+":method", p.answerAdmin)
	go func() { _ = h.Run() }()
	return &admin{hertz: h}, nil
}

// gauges brings the metrics of control up to date.
func (p *Process) gauges() {
	cost := p.cost()
	p.metrics.Gauge("control_bytes_in", float64(cost.BytesIn))
	p.metrics.Gauge("control_bytes_out", float64(cost.BytesOut))
	p.metrics.Gauge("control_messages", float64(cost.Messages))
	for _, kind := range p.meter.Kinds() {
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
		c.JSON(status, failure{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, result)
}

type failure struct {
	Error string `json:"error"`
}

func (a *admin) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	_ = a.hertz.Shutdown(ctx)
}
