package exchange

// partSlots is the number of prompt parts remembered for one replica.
const partSlots = 512

// partCache remembers which prompt parts a replica was lately sent, oldest
// dropped first. It is a hint on what the replica has cached. Its memory grows with what
// was sent: a gateway sends to few of thousands of replicas, and room for all parts of
// all 3,000 of them was 38 of the 60 MB that it used (heap profile, four gateways).
type partCache struct {
	known map[partKey]int
	// ring has the parts in the order in which they were sent; next is the oldest one's
	// place once it is full.
	ring []partKey
	next int
}

type partKey struct {
	model string
	id    string
}

// note remembers parts that a replica reads now.
func (c *partCache) note(model string, parts []Part) {
	if c.known == nil {
		c.known = map[partKey]int{}
	}
	for _, part := range parts {
		c.add(partKey{model: model, id: part.ID})
	}
}

func (c *partCache) add(key partKey) {
	c.known[key]++
	if len(c.ring) < partSlots {
		c.ring = append(c.ring, key)
		return
	}
	old := c.ring[c.next]
	if c.known[old]--; c.known[old] <= 0 {
		delete(c.known, old)
	}
	c.ring[c.next] = key
	c.next = (c.next + 1) % partSlots
}

// cached returns the tokens at the prompt's beginning that the replica was sent before.
func (c *partCache) cached(model string, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if c.known[partKey{model: model, id: part.ID}] <= 0 {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
