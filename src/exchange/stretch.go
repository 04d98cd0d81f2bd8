package exchange

import "time"

// freeStep is the least break between two prompts in which a replica makes a step of its
// streams without a piece of a prompt: one or two such steps on the users' engines.
const freeStep = 20 * time.Millisecond

// stretch is a time in which a replica reads prompts without a break, as far as a gateway
// knows. As long as it lasts, every step of the streams there carries a piece of a prompt.
type stretch struct {
	began time.Time
	until time.Time
}

// note takes in that the replica has so much to read now.
func (s *stretch) note(now time.Time, unread time.Duration) {
	if unread <= 0 {
		return
	}
	if s.over(now) {
		s.began = now
	}
	s.until = now.Add(unread)
}

// over reports whether the replica has had a break.
func (s *stretch) over(now time.Time) bool { return !now.Before(s.until.Add(freeStep)) }

// lasting is for how long the replica has read without a break.
func (s *stretch) lasting(now time.Time) time.Duration {
	if s.over(now) {
		return 0
	}
	return now.Sub(s.began)
}
