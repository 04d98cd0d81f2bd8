package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/metric"
)

// TestOnlyTheLargestAccountsHaveGauges checks the bound while the accounts change over time.
func TestOnlyTheLargestAccountsHaveGauges(t *testing.T) {
	is := is.New(t)
	m := metric.New("control")
	g := accountGauges{named: map[string]bool{}}
	for round := range 10 {
		used := map[string]float64{}
		for i := range 100 {
			used[fmt.Sprint("account-", round*100+i)] = float64(i)
		}
		g.set(m, used)
	}
	is.Equal(len(g.named), maxAccountNames)
	is.True(g.named["account-99"])
	page := string(m.Encoder()())
	is.True(!strings.Contains(page, "account-950"))
}
