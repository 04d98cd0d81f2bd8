package ratelimit

import (
	"testing"

	"github.com/matryer/is"
)

func limited(perSecond float64) State { return State{Limited: true, PerSecond: perSecond} }

// The issuer is in term 7 and has issued 20 permits.
func TestWordsAreOrderedByPermits(t *testing.T) {
	known := func(s State, sincePermit uint64) knownLimit {
		return knownLimit{state: s, observed: true, sincePermit: sincePermit, known: true}
	}
	for name, c := range map[string]struct {
		before knownLimit
		word   LimitReport
		want   State
	}{
		"the first one":                                     {knownLimit{}, LimitReport{State: limited(5), FromResponse: true}, limited(5)},
		"none where none is known":                          {knownLimit{}, LimitReport{FromResponse: true, Term: 7, Permit: 3}, State{}},
		"a lower one without a permit":                      {known(limited(5), 10), LimitReport{State: limited(2), FromResponse: true}, limited(2)},
		"a higher one without a permit may be older":        {known(limited(5), 10), LimitReport{State: limited(9), FromResponse: true}, limited(5)},
		"none without a permit may be older":                {known(limited(5), 10), LimitReport{FromResponse: true}, limited(5)},
		"a higher one to a later permit":                    {known(limited(5), 10), LimitReport{State: limited(9), FromResponse: true, Term: 7, Permit: 11}, limited(9)},
		"a higher one to an earlier permit":                 {known(limited(5), 10), LimitReport{State: limited(9), FromResponse: true, Term: 7, Permit: 10}, limited(5)},
		"none to a later permit":                            {known(limited(5), 10), LimitReport{FromResponse: true, Term: 7, Permit: 11}, State{}},
		"none to an earlier permit":                         {known(limited(5), 10), LimitReport{FromResponse: true, Term: 7, Permit: 9}, limited(5)},
		"none to a permit of another leader":                {known(limited(5), 10), LimitReport{FromResponse: true, Term: 6, Permit: 19}, limited(5)},
		"a lower one to a permit of another leader":         {known(limited(5), 10), LimitReport{State: limited(1), FromResponse: true, Term: 6, Permit: 19}, limited(1)},
		"a lower one to an earlier permit was overtaken":    {known(limited(5), 10), LimitReport{State: limited(1), FromResponse: true, Term: 7, Permit: 9}, limited(5)},
		"one after the end":                                 {known(State{}, 10), LimitReport{State: limited(5), FromResponse: true}, limited(5)},
		"one from before the end":                           {known(State{}, 10), LimitReport{State: limited(5), FromResponse: true, Term: 7, Permit: 9}, State{}},
		"what a gateway knows, where nothing is known":      {knownLimit{}, LimitReport{State: limited(5)}, limited(5)},
		"what a gateway knows from before the end":          {known(State{}, 10), LimitReport{State: limited(5)}, State{}},
		"what a gateway knows from before a higher one":     {known(limited(9), 10), LimitReport{State: limited(5)}, limited(9)},
		"the lower one of what two gateways know":           {knownLimit{state: limited(9), known: true}, LimitReport{State: limited(5)}, limited(5)},
		"the higher one of what two gateways know":          {knownLimit{state: limited(3), known: true}, LimitReport{State: limited(5)}, limited(3)},
		"an answer after what a gateway knew":               {knownLimit{state: limited(3), known: true, sincePermit: 4}, LimitReport{State: limited(5), FromResponse: true, Term: 7, Permit: 5}, limited(5)},
		"a gateway that knows of none, beside one that did": {known(limited(5), 10), LimitReport{}, limited(5)},
	} {
		t.Run(name, func(t *testing.T) {
			k := c.before
			changed := k.update(7, 20, c.word)
			if k.state != c.want || changed != (c.before.state != c.want) {
				t.Errorf("%v is in force, changed %v", k.state, changed)
			}
		})
	}
}

// Reports of an unchanged limit still move on the permit that later reports are compared with.
func TestAnEqualLimitAdvancesItsPermit(t *testing.T) {
	is := is.New(t)
	k := knownLimit{state: limited(5), observed: true, sincePermit: 10, known: true}
	is.True(!k.update(7, 20, LimitReport{State: limited(5), FromResponse: true, Term: 7, Permit: 12}))
	is.True(!k.update(7, 20, LimitReport{FromResponse: true, Term: 7, Permit: 11})) // was overtaken
	is.True(k.update(7, 20, LimitReport{FromResponse: true, Term: 7, Permit: 13}))
}
