package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Control nodes and gateways that reach no issuer together stay within half of the rate, since an
// issuer that they are cut off from may use all of it.
func TestFallbackIssuersStayWithinTheirShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const rate, span = 40.0, 60
	draw := rand.New(rand.NewPCG(1, 52)).Float64
	grantedBy := func(share float64, count int) (granted int) {
		for range count {
			s := NewFallbackIssuer(draw)
			for at := time.Duration(0); at < span*time.Second; at += 10 * time.Millisecond {
				if s.Take(now.Add(at), Request{Server: "r", LimitReport: LimitReport{State: limited(rate)}}, share).Granted {
					granted++
				}
			}
		}
		return granted
	}
	is.True(float64(grantedBy(ControlShare(5), 2)+grantedBy(GatewayShare(30), 30)) <= rate*span/2)
	is.True(float64(grantedBy(ControlShare(5), 5)) >= 0.9*rate*span/2)
}
