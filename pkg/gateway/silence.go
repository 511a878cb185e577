package gateway

import (
	"slices"
	"sync"
	"time"
)

// eventProgress is the time of the newest event of a service's streams, and the target pause between
// the events of that stream.
type eventProgress struct {
	at  time.Time
	gap time.Duration
}

const (
	// silentEventGaps is the number of target pauses between events without an event after which an
	// upstream with streams in progress counts as silent.
	silentEventGaps = 3
	// silenceCheckInterval is the shortest time between two looks for silent upstreams.
	silenceCheckInterval = 20 * time.Millisecond
	// toldSilenceTTL is how long a report on a silent upstream is valid; it is repeated with each heartbeat.
	toldSilenceTTL = heartbeatInterval + heartbeatTimeout
	// minSilenceExtension is by how much a report must extend an earlier one to count. Without it, neighbours that
	// repeat each other's reports would extend them by the time that a heartbeat takes.
	minSilenceExtension = 300 * time.Millisecond
)

// RecordEvent records an event of a stream from an upstream. gap is the target pause between the events
// of the stream, 0 if it has none.
func (f *Fleet) RecordEvent(service, id string, gap time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.observation(id)
	s.progressAt, s.toldSilentUntil = now, time.Time{}
	f.eventProgress[service] = eventProgress{at: now, gap: gap}
}

// isSilent reports whether an upstream has work in progress and sends nothing while others of the
// service do: its instance may be frozen, and attempts there would wait without a sign of failure.
// The caller holds f.mu.
func (f *Fleet) isSilent(service string, s *observation, now time.Time) bool {
	newest := f.eventProgress[service]
	limit := silentEventGaps * newest.gap
	return limit > 0 && s.running > 0 && now.Sub(s.progressAt) > limit && now.Sub(newest.at) < newest.gap
}

// silentUpstreams returns the upstreams that count as silent here, sorted.
func (f *Fleet) silentUpstreams(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, e := range f.upstreams.Entries() {
		if s := f.observations[id]; s != nil && f.isSilent(e.Service, s, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// silentFor returns the upstreams that count as silent here or were reported as that, with the time in
// milliseconds for which they do.
func (f *Fleet) silentFor(now time.Time) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out map[string]int64
	for id, s := range f.observations {
		e := f.upstreams.Entries()[id]
		if e == nil {
			continue
		}
		left := s.toldSilentUntil.Sub(now)
		if f.isSilent(e.Service, s, now) {
			left = toldSilenceTTL
		}
		if left <= 0 {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[id] = left.Milliseconds()
	}
	return out
}

// SetSilent records the upstreams that count as silent elsewhere, by ID, with the time in milliseconds: this
// gateway may have no work there that would show it. It reports whether that was news.
func (f *Fleet) SetSilent(millisByID map[string]int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNews := false
	for id, millis := range millisByID {
		if f.upstreams.Entries()[id] == nil {
			continue
		}
		s := f.observation(id)
		until := now.Add(min(time.Duration(millis)*time.Millisecond, toldSilenceTTL))
		if until.Sub(s.toldSilentUntil) >= minSilenceExtension {
			isNews = true
			s.toldSilentUntil = until
		}
	}
	return isNews
}

// silenceReporter decides when to tell peers of silent upstreams. It is safe for concurrent use.
type silenceReporter struct {
	mu        sync.Mutex
	checkedAt time.Time
	reported  []string
}

// reportSilence tells the peers at once when an upstream has fallen silent.
func (g *Gateway) reportSilence(now time.Time) {
	r := &g.silence
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checkedAt) < silenceCheckInterval {
		return
	}
	r.checkedAt = now
	silent := g.fleet.silentUpstreams(now)
	isNew := slices.ContainsFunc(silent, func(id string) bool { return !slices.Contains(r.reported, id) })
	r.reported = silent
	if isNew {
		g.log.Info("upstreams-silent", "upstreams", silent)
		go g.onSilence()
	}
}
