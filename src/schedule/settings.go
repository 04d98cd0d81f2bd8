package schedule

import (
	"fmt"
	"math"
	"slices"
)

// Settings are the operators' choices; the zero value changes nothing.
type Settings struct {
	// Weights are the shares of accounts relative to others; they replace those of the requests.
	Weights map[string]float64
	// Kinds are kinds of requests, the most urgent first; they replace the priorities of the
	// requests. Kinds that are not listed come after all of them.
	Kinds []string
	// MaxWaiting bounds the waiting requests, 0 for the default.
	MaxWaiting int
}

// Check returns an error with the place of the first value that can't be used. The functions report
// whether an account and a kind of requests exist.
func (s *Settings) Check(accountExists, kindExists func(string) bool) error {
	if err := s.checkWeights(accountExists); err != nil {
		return err
	}
	for i, kind := range s.Kinds {
		if !kindExists(kind) {
			return fmt.Errorf("kinds[%d]: there is no kind %q", i, kind)
		}
		if slices.Contains(s.Kinds[:i], kind) {
			return fmt.Errorf("kinds[%d]: %q is listed twice", i, kind)
		}
	}
	if s.MaxWaiting < 0 {
		return fmt.Errorf("max-waiting: %d is negative", s.MaxWaiting)
	}
	return nil
}

// checkWeights checks the weights in the order of the accounts' names.
func (s *Settings) checkWeights(accountExists func(string) bool) error {
	names := make([]string, 0, len(s.Weights))
	for name := range s.Weights {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		weight := s.Weights[name]
		if !accountExists(name) {
			return fmt.Errorf("weights[%q]: there is no such account", name)
		}
		if !usableWeight(weight) {
			return fmt.Errorf("weights[%q]: %v is not a positive number", name, weight)
		}
	}
	return nil
}

// usableWeight reports whether a weight is a positive finite number.
func usableWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 1) }

// weight returns the weight of the account of a request, 1 if none was given.
func (s *Settings) weight(request *Request) float64 {
	if weight := s.Weights[request.Account]; usableWeight(weight) {
		return weight
	}
	if usableWeight(request.AccountWeight) {
		return request.AccountWeight
	}
	return 1
}

// priority returns the priority of a request, at least 0 and at most maxPriority.
func (s *Settings) priority(request *Request) int {
	priority := request.Priority
	if len(s.Kinds) > 0 {
		priority = slices.Index(s.Kinds, request.Kind)
		if priority < 0 {
			priority = len(s.Kinds)
		}
	}
	return min(max(priority, 0), maxPriority)
}

// maxWaiting returns the bound of the waiting requests.
func (s *Settings) maxWaiting() int {
	if s.MaxWaiting > 0 {
		return s.MaxWaiting
	}
	return defaultMaxWaiting
}
