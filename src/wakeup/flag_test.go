package wakeup

import (
	"testing"

	"github.com/matryer/is"
)

func raised(f Flag) bool {
	select {
	case <-f.Raised():
		return true
	default:
		return false
	}
}

func TestFlagRaisedTwiceWakesOnce(t *testing.T) {
	is := is.New(t)
	f := New()
	is.True(!raised(f))
	f.Raise()
	f.Raise()
	is.True(raised(f))
	is.True(!raised(f))
	f.Raise()
	is.True(raised(f))
}
