package quota

import "time"

// historyCells is into how many parts a history's span is cut. The oldest part counts
// whole until it has left the span.
const historyCells = 128

// history is what was used over the last span.
type history struct {
	span  time.Duration
	cells [historyCells + 1]float64
	// last is the number of the newest part.
	last int64
	sum  float64
}

// turn forgets what has left the span.
func (h *history) turn(now time.Time) {
	present := now.UnixNano() / int64(h.span/historyCells)
	if present-h.last > int64(len(h.cells)) {
		h.cells = [historyCells + 1]float64{}
		h.last, h.sum = present, 0
		return
	}
	for h.last < present {
		h.last++
		cell := &h.cells[h.last%int64(len(h.cells))]
		h.sum -= *cell
		*cell = 0
	}
}

// add counts units that are used now; less than 0 takes back what turned out not to be.
func (h *history) add(now time.Time, units float64) {
	h.turn(now)
	cell := &h.cells[h.last%int64(len(h.cells))]
	before := *cell
	*cell = max(before+units, 0)
	h.sum += *cell - before
}

// used returns what was used over the span.
func (h *history) used(now time.Time) float64 {
	h.turn(now)
	return h.sum
}

// parts returns what was used in each of so many parts of the span, the newest first.
func (h *history) parts(now time.Time, count int) []float64 {
	h.turn(now)
	parts := make([]float64, count)
	for age := range len(h.cells) {
		at := (h.last - int64(age) + int64(len(h.cells))) % int64(len(h.cells))
		parts[min(age*count/historyCells, count-1)] += h.cells[at]
	}
	return parts
}

// untilLeft returns how long it takes until so many units have left the span, the whole
// span if there are not so many.
func (h *history) untilLeft(now time.Time, units float64) time.Duration {
	h.turn(now)
	cell := h.span / historyCells
	for i := 1; i <= len(h.cells); i++ {
		units -= h.cells[(h.last+int64(i))%int64(len(h.cells))]
		if units <= 0 {
			return time.Duration(i) * cell
		}
	}
	return h.span
}
