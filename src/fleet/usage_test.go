package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

// TestOnlyTheLeaderLearnsOfMissingCopies: other control nodes do not act on them.
func TestOnlyTheLeaderLearnsOfMissingCopies(t *testing.T) {
	is := is.New(t)
	models := []wire.Asked{{Service: "s", Model: "m", Requests: 2, Tokens: 40, Missing: 1}}
	is.Equal(withoutMissing(models), []wire.Asked{{Service: "s", Model: "m", Requests: 2, Tokens: 40}})
	is.Equal(models[0].Missing, 1) // unchanged for the leader
}
