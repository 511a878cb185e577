package crashcause

import "time"

// maxRemembered is the number of traits of one generation of a memory.
const maxRemembered = 8192

// memory has the time at which requests with a trait last began to be answered. It forgets the traits
// that were not seen while maxRemembered others were.
type memory struct {
	current, previous map[Trait]time.Time
}

func (m *memory) record(t Trait, now time.Time) {
	if len(m.current) >= maxRemembered || m.current == nil {
		m.current, m.previous = map[Trait]time.Time{}, m.current
	}
	m.current[t] = now
}

// last returns the time of the newest record of a trait.
func (m *memory) last(t Trait) (time.Time, bool) {
	at, ok := m.current[t]
	if !ok {
		at, ok = m.previous[t]
	}
	return at, ok
}
