package policy

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// traffic describes the callers.
type traffic struct {
	// rate is the number of new requests a second at a time.
	rate func(now time.Duration) float64
	// prompt returns the prefix group and the blocks of a new request.
	prompt func(w *world) []uint64
	tokens int
	// deadline is the caller's timeout.
	deadline time.Duration
	// impatient is the share of the callers that send again after a short time whatever they
	// are told.
	impatient float64
}

// impatience is the time after which impatient callers send again.
const impatience = 100 * time.Millisecond

// offer sends new requests at the rate of the traffic for ever.
func (w *world) offer(t traffic) {
	rate := t.rate(w.now)
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		w.counts.sentBy[w.now/time.Second]++
		r := &request{
			id: name("request", w.seq), org: w.organisation(), blocks: t.prompt(w),
			tokens: t.tokens/2 + w.rng.IntN(t.tokens+1), deadline: t.deadline,
		}
		w.send(t, r, w.rng.Float64() < t.impatient)
		w.offer(t)
	})
}

// send sends a request to any entry, and again when it is not answered.
func (w *world) send(t traffic, r *request, impatient bool) {
	r.ended = func(c code.Code, after time.Duration) {
		if c == code.OK {
			w.counts.answered++
			w.counts.answeredBy[w.now/time.Second]++
			return
		}
		if r.sending == sendRetries {
			w.counts.lost++
			return
		}
		again := &request{
			id: r.id + "'", org: r.org, blocks: r.blocks, tokens: r.tokens,
			deadline: r.deadline, sending: r.sending + 1,
		}
		if impatient {
			after = impatience
		}
		w.after(after, func() { w.send(t, again, impatient) })
	}
	e := w.entries[w.rng.IntN(len(w.entries))]
	w.after(callerTrip, func() { e.take(r) })
}

// noPrefix is a prompt without whole blocks.
func noPrefix(*world) []uint64 { return nil }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
