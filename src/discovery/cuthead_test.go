package discovery

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
)

// A list that lost its end would take hosts out of use.
func TestACutListIsNoOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := cuttest.NewServer(t)
	const text = `{"version":12,"hosts":[{"name":"h1"},{"name":"h2"}]}`
	for _, cut := range cuttest.Incomplete("200 OK", HeaderVersion+": 12\r\n", text) {
		server.Set(cut)
		reader, err := NewReader(server.Address, nil)
		is.NoErr(err)
		list, changed, err := reader.Read(context.Background())
		if err == nil && (!cut.InBody || list.Version != 12 || len(list.Hosts) != 2 || !changed) {
			t.Errorf("%s was taken for %+v", cut, list)
		}
	}
	for _, whole := range cuttest.Answers("200 OK", HeaderVersion+": 12\r\n", text) {
		if whole.Name == cuttest.Folded {
			continue // its body is moved, and no JSON
		}
		server.Set(whole.Whole())
		reader, err := NewReader(server.Address, nil)
		is.NoErr(err)
		list, _, err := reader.Read(context.Background())
		is.NoErr(err)
		is.Equal(len(list.Hosts), 2)
	}
}
