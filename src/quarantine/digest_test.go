package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Each part changes the digest, and parts do not run into each other.
func TestDifferentContentsHaveDifferentDigests(t *testing.T) {
	is := is.New(t)
	base := Content{Account: "a", Method: "POST", Host: "h", Target: "/p", Body: []byte("body")}
	is.Equal(base.Digest(), base.Digest())
	is.True(base.Digest().HasPrefix(base.Digest().String())) // as logs show it
	is.True(!base.Digest().HasPrefix(""))
	others := []Content{
		{Account: "b", Method: "POST", Host: "h", Target: "/p", Body: []byte("body")},
		{Account: "a", Method: "PUT", Host: "h", Target: "/p", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "g", Target: "/p", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h", Target: "/p?q", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h", Target: "/p", Body: []byte("body2")},
		{Account: "aPOST", Method: "", Host: "h", Target: "/p", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h/p", Target: "", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h", Target: "/pbody"},
	}
	seen := map[Digest]bool{base.Digest(): true}
	for _, other := range others {
		is.True(!seen[other.Digest()]) // another content has another digest
		seen[other.Digest()] = true
	}
}

// BenchmarkDigest measures the cost for each request at the usual size of prompts.
func BenchmarkDigest(b *testing.B) {
	content := Content{Method: "POST", Host: "a.example", Target: "/secu170/de72/17/e851", Body: make([]byte, 1500)}
	b.ReportAllocs()
	for range b.N {
		_ = content.Digest()
	}
}
