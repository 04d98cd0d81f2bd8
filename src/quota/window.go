package quota

import "time"

// windowCells is the number of cells in a sliding window. The oldest cell counts in full until it
// has left the span.
const windowCells = 128

// slidingWindow sums what was used over the last span.
type slidingWindow struct {
	span  time.Duration
	cells [windowCells + 1]float64
	// newest is the number of the newest cell.
	newest int64
	sum    float64
}

// advance drops the cells that have left the span.
func (h *slidingWindow) advance(now time.Time) {
	present := now.UnixNano() / int64(h.span/windowCells)
	if present-h.newest > int64(len(h.cells)) {
		h.cells = [windowCells + 1]float64{}
		h.newest, h.sum = present, 0
		return
	}
	for h.newest < present {
		h.newest++
		cell := &h.cells[h.newest%int64(len(h.cells))]
		h.sum -= *cell
		*cell = 0
	}
}

// add counts units used now.
func (h *slidingWindow) add(now time.Time, units float64) {
	h.advance(now)
	h.cells[h.newest%int64(len(h.cells))] += units
	h.sum += units
}

// takeBack removes units that were counted since a time and not used after all. It starts with the
// oldest of them, so that what is left is never counted for too short a time.
func (h *slidingWindow) takeBack(now, since time.Time, units float64) {
	h.advance(now)
	oldest := max(since.UnixNano()/int64(h.span/windowCells), h.newest-windowCells)
	for i := oldest; i <= h.newest && units > 0; i++ {
		cell := &h.cells[i%int64(len(h.cells))]
		removed := min(*cell, units)
		*cell -= removed
		h.sum -= removed
		units -= removed
	}
}

// used returns the units used over the span.
func (h *slidingWindow) used(now time.Time) float64 {
	h.advance(now)
	return h.sum
}

// parts splits the span into count parts and returns the use in each, the newest first.
func (h *slidingWindow) parts(now time.Time, count int) []float64 {
	h.advance(now)
	parts := make([]float64, count)
	for age := range len(h.cells) {
		at := (h.newest - int64(age) + int64(len(h.cells))) % int64(len(h.cells))
		parts[min(age*count/windowCells, count-1)] += h.cells[at]
	}
	return parts
}

// timeUntilFreed returns the time until that many units have left the span, or the whole span if it
// holds fewer.
func (h *slidingWindow) timeUntilFreed(now time.Time, units float64) time.Duration {
	h.advance(now)
	cell := h.span / windowCells
	for i := 1; i <= len(h.cells); i++ {
		units -= h.cells[(h.newest+int64(i))%int64(len(h.cells))]
		if units <= 0 {
			return time.Duration(i) * cell
		}
	}
	return h.span
}
