package discovery

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/dial"
	"github.com/moorspool/moorspool/src/fault"
)

// PathHosts is the path of the list.
const PathHosts = "/hosts"

// HeaderVersion is the header with the list's version. A request with the current version is
// answered by an empty 304.
const HeaderVersion = "X-List-Version"

// The timeouts and limits of reading the list.
const (
	dialTimeout = time.Second
	readTimeout = 2 * time.Second
	// maxConns is one for the read in progress, and one whose end is not known yet.
	maxConns = 2
	// maxListBytes is the longest list that is read. A host takes some hundred bytes.
	maxListBytes = 16 << 20
)

// Host is an entry of the platform's list.
type Host struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List is the platform's list of hosts.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Reader reads the list. It is not safe for concurrent use.
type Reader struct {
	client *dial.Client
	url    string
	last   List
}

// NewReader returns a reader of the list served at an address.
func NewReader(address string, cut *fault.Cut) (*Reader, error) {
	c, err := dial.New(cut, dial.Options{Dial: dialTimeout, Read: readTimeout, ReadWhole: true, Write: readTimeout, Conns: maxConns, Reuse: true, MaxBody: maxListBytes})
	if err != nil {
		return nil, errors.Wrap(err, "making the platform's client")
	}
	return &Reader{client: c, url: "http://" + address + PathHosts}, nil
}

// Read returns the current list and whether it differs from the previous one.
func (r *Reader) Read(ctx context.Context) (List, bool, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetRequestURI(r.url)
	request.SetHeader(HeaderVersion, strconv.FormatUint(r.last.Version, 10))
	if err := r.client.Do(ctx, request, response); err != nil {
		return r.last, false, errors.Wrap(err, "reading the platform's list")
	}
	body, err := r.client.ReadBody(response)
	if err != nil {
		return r.last, false, errors.Wrap(err, "reading the platform's list")
	}
	if response.StatusCode() == consts.StatusNotModified {
		return r.last, false, nil
	}
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return r.last, false, errors.Wrap(err, "decoding the platform's list")
	}
	changed := list.Version != r.last.Version
	r.last = list
	return list, changed, nil
}
