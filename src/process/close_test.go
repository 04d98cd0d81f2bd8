package process

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/wire"
)

// blockedOutput is an output to which nothing can be written.
type blockedOutput struct{}

func (blockedOutput) Write([]byte) (int, error) { select {} }

// freeAddress returns an address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestTheEndOfAProcessIsLimitedAsAWhole: the waits for a kept connection and for the log added up, and a stopping gateway
// was killed before it had written its last lines.
func TestTheEndOfAProcessIsLimitedAsAWhole(t *testing.T) {
	is := is.New(t)
	settings := option.Common{Node: "n", Control: freeAddress(t), Admin: freeAddress(t), Events: 16}
	settings.Log.Level = "error"
	p, err := New("gateway", settings, func(*wire.Status) {})
	is.NoErr(err)
	p.writer = event.NewWriter(blockedOutput{})
	_, _ = p.writer.Write([]byte("line"))
	is.NoErr(p.Serve())
	var response *http.Response
	for range 100 { // until it listens
		if response, err = http.Get("http://" + settings.Admin + "/healthz"); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(err)
	defer response.Body.Close()
	began := time.Now()
	p.Close()
	took := time.Since(began)
	is.True(took >= closeTimeout)
	is.True(took < closeTimeout*3/2)
}
