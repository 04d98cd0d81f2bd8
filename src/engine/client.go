package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/dial"
	"github.com/moorspool/moorspool/src/fault"
)

// Timeouts of control calls.
const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = time.Second
)

const (
	// maxControlConns limits the control calls to one engine at a time.
	maxControlConns = 512
	// maxReportBytes limits a report, and an answer to an order. A report takes some hundred bytes for each copy.
	maxReportBytes = 1 << 20
)

// ControlClient is a client of the engines' control interface: it fetches reports and
// sends orders. It is safe for concurrent use.
type ControlClient struct {
	client *dial.Client
	count  func(in, out int)
}

// NewControlClient returns a client of the engines' control interface. It calls count
// with the bytes received and sent in each exchange.
func NewControlClient(cut *fault.Cut, count func(in, out int)) (*ControlClient, error) {
	c, err := dial.New(cut, dial.Options{Dial: dialTimeout, Read: controlTimeout, ReadWhole: true, Write: controlTimeout, Conns: maxControlConns, Reuse: true, MaxBody: maxReportBytes})
	if err != nil {
		return nil, errors.Wrap(err, "creating the engine client")
	}
	return &ControlClient{client: c, count: count}, nil
}

// Report fetches an engine's report. If nothing but the load has changed since
// the report last, the engine sends only its load and the rest is copied from last.
func (c *ControlClient) Report(ctx context.Context, address string, last Report) (Report, error) {
	var report Report
	err := c.exchange(ctx, consts.MethodGet, "http://"+address+PathReport, last.Known(), nil, &report)
	if report.LoadOnly {
		report.Epoch, report.LastOrder = last.Epoch, last.LastOrder
		report.Capacity, report.Copies = last.Capacity, last.Copies
	}
	return report, err
}

// Order sends an order. After an error the engine may or may not have accepted it.
func (c *ControlClient) Order(ctx context.Context, address string, order Order) (OrderReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderReply{}, errors.Wrap(err, "encoding an order")
	}
	var reply OrderReply
	err = c.exchange(ctx, consts.MethodPost, "http://"+address+PathOrders, "", body, &reply)
	return reply, err
}

func (c *ControlClient) exchange(ctx context.Context, method, url, knownReport string, body []byte, reply any) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI(url)
	if knownReport != "" {
		request.Header.Set(HeaderKnown, knownReport)
	}
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	if err := c.client.Do(ctx, request, response); err != nil {
		return errors.Wrap(err, "calling an engine")
	}
	answer, err := c.client.ReadBody(response)
	if err != nil {
		return errors.Wrap(err, "reading an engine's response")
	}
	c.count(len(response.Header.Header())+len(answer), len(request.Header.Header())+len(body))
	if status := response.StatusCode(); status != consts.StatusOK {
		return errors.Errorf("the engine answered %d", status)
	}
	return errors.Wrap(json.Unmarshal(answer, reply), "decoding an engine's response")
}
