package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// startCheckTimeout bounds the question for the start of a replica. The client waits for it in the middle of
// its stream.
const startCheckTimeout = 100 * time.Millisecond

// maxReportBytes is the longest report of a replica that is read.
const maxReportBytes = 256 << 10

// errOtherStart means that another start of the replica has the connection than the one on the list, or
// that it did not say which. No byte of the request left this host.
var errOtherStart = errors.New("its start could not be confirmed")

// StartCodec reads from a replica's report on itself when it started.
type StartCodec struct {
	// Target is the path of the report.
	Target string
	// Encode sets the headers of the question to a replica.
	Encode func(header http.Header, replica string)
	// Parse returns the start in Unix milliseconds, and false if the report does not tell it.
	Parse func(status int, body []byte) (startedMS int64, known bool)
}

// askStart asks the process at the other end of the connection when it started. Afterwards the connection
// can be used as before, unless an error is returned.
func (c *conn) askStart(codec *Codec, peer *Peer, deadline time.Time) (int64, error) {
	_ = c.raw.SetDeadline(deadline)
	header := http.Header{}
	codec.Start.Encode(header, peer.name())
	question := &outgoingRequest{method: http.MethodGet, target: codec.Start.Target, host: peer.pool.address, header: header}
	response, body, err := c.ask(codec, question, maxReportBytes)
	if err != nil {
		return 0, errors.Wrap(err, "asking for the start")
	}
	startedMS, known := codec.Start.Parse(response.StatusCode, body)
	if !known || response.Close {
		return 0, errors.Errorf("a report without a start: %s", response.Status)
	}
	return startedMS, nil
}

// confirmStart returns an error unless the connection leads to the start of the replica that is on the list.
func (c *conn) confirmStart(codec *Codec, peer *Peer, deadline time.Time) error {
	startedMS, err := c.askStart(codec, peer, deadline)
	if err != nil {
		return fmt.Errorf("%w: %w", errOtherStart, err)
	}
	if startedMS != peer.startedMS() {
		return errors.Wrap(errOtherStart, "it started at "+strconv.FormatInt(startedMS, 10))
	}
	return nil
}

// needsStartCheck reports whether the start of a replica is to be confirmed before a request: a stream goes
// on, and the replica may start again under its name with other software.
func (c *call) needsStartCheck(choice Choice) bool {
	return !c.origin.Unbound() && choice.Peer.startedMS() != 0
}

// checkWriter revokes the origin of a stream that broke off if another start has the address of the replica
// that began it, and withdraws its record. One that does not answer is taken to be the start on the list.
func (c *call) checkWriter(ctx context.Context) {
	writer := c.origin.writer
	if writer == nil || writer.startedMS() == 0 || c.origin.checked || c.clientLeft() {
		return
	}
	c.origin.checked = true
	h := c.handler
	now := h.options.Now()
	ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
	defer cancel()
	conn, err := writer.pool.get(ctx, startCheckTimeout, now)
	if err != nil {
		return
	}
	defer conn.raw.Close()
	startedMS, err := conn.askStart(&h.options.Codec, writer, now.Add(startCheckTimeout))
	c.noteTooLong(writer, err)
	if err != nil || startedMS == writer.startedMS() {
		return
	}
	c.reason += "; " + writer.ID() + " has started again, and may have done so before it began the stream"
	c.origin.Revoke()
	c.withdrawOrigin()
}

// withdrawOrigin withdraws the record of the stream before its answer breaks off: the client may be back at
// another gateway within a millisecond.
func (c *call) withdrawOrigin() {
	withdraw := c.handler.options.Origins.Withdraw
	if withdraw == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), originWithdrawTimeout)
	defer cancel()
	withdraw(ctx, c.origin.key)
}
