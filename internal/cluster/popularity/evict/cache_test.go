package evict

import (
	"math"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// cache holds the destinations that a simulated sender caches under one policy.
type cache struct {
	held  []clusterapi.HeldState
	index map[choice.DestinationID]int // index in held
	bytes int                          // sum over held
	hits  int                          // counted requests for cached destinations
}

// drop removes a destination.
func (c *cache) drop(d choice.DestinationID) {
	i := c.index[d]
	last := len(c.held) - 1
	c.bytes -= c.held[i].Bytes
	c.held[i] = c.held[last]
	c.index[c.held[i].Destination] = i
	c.held = c.held[:last]
	delete(c.index, d)
}

// request simulates a message for a destination. If the destination is not cached, it is added and request returns true. A hit is
// counted if counted is true.
func (c *cache) request(d choice.DestinationID, bytes int, counted bool) bool {
	if i, held := c.index[d]; held {
		c.held[i].Calls++
		if counted {
			c.hits++
		}
		return false
	}
	c.index[d] = len(c.held)
	c.held = append(c.held, clusterapi.HeldState{Destination: d, Bytes: bytes, Calls: 1})
	c.bytes += bytes
	return true
}

// evictLowest evicts the destinations with the lowest value, as returned by of, until the bounds hold.
func (c *cache) evictLowest(b Bounds, of func(h *clusterapi.HeldState) float64) {
	for b.Destinations > 0 && len(c.held) > b.Destinations || b.Bytes > 0 && c.bytes > b.Bytes {
		low, least := 0, math.Inf(1)
		for i := range c.held {
			if w := of(&c.held[i]); w < least {
				low, least = i, w
			}
		}
		c.drop(c.held[low].Destination)
	}
}
