package exchange

import (
	"context"
	"time"
)

// choose picks a replica; it waits for one that is expected in time.
func (c *call) choose(ctx context.Context) Choice {
	want := c.want()
	h := c.handler
	asked := false
	for {
		now := h.options.Now()
		choice := h.options.Fleet.Pick(now, want, c.tried)
		if choice.Verdict == Chosen && c.paced(now, choice) {
			if !sleep(ctx, paceStep) {
				return choice
			}
			continue
		}
		if choice.Verdict == Chosen || len(c.tried) > 0 {
			return choice
		}
		if choice.Verdict == Missing && !asked {
			h.options.Demand.Ask(c.service, c.facts, true)
			asked = true
		}
		if !c.worthWaiting(now, choice.Verdict) || !sleep(ctx, missingPoll) {
			return choice
		}
	}
}

// worthWaiting reports whether a replica is expected for a request that has none: one that
// this gateway has not had the time to learn of, or one to which the copy comes while the
// answer can still be in time. Where that is not expected the client is told at once.
func (c *call) worthWaiting(now time.Time, verdict Verdict) bool {
	fleet := c.handler.options.Fleet
	if fleet.Gathering(now) {
		known := c.began.Add(gatherTime)
		return now.Before(known) && fleet.gatheredBy(known).Before(c.deadline)
	}
	if verdict != Missing {
		return false
	}
	by, expected := fleet.arrivals.lacked(now, c.lackedCopy(), c.loadTime())
	c.comesBy = by
	return expected && by.Before(c.began.Add(c.route.Target))
}

// lackedCopy is what the request lacks: its model, or its adapter where a replica in reach
// holds the model.
func (c *call) lackedCopy() indexKey {
	key := indexKey{c.service, copyKey{model: c.facts.Model, adapter: c.facts.Adapter}}
	model := indexKey{c.service, copyKey{model: c.facts.Model}}
	if !c.handler.options.Fleet.holds(model) {
		return model
	}
	return key
}

// loadTime is how long a load of the request's model takes from the weight store.
func (c *call) loadTime() time.Duration {
	table := c.handler.Table()
	if table == nil {
		return 0
	}
	service := table.Service(c.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	if model := service.Engine.Model(c.facts.Model); model != nil {
		return model.Load
	}
	return 0
}

func (c *call) want() Want {
	return Want{Service: c.service, Model: c.facts.Model, Adapter: c.facts.Adapter, Prompt: c.facts.PromptTokens, Parts: c.facts.Parts}
}
