package crashcause

import (
	"fmt"
	"slices"
	"time"
)

// crashBy crashes a worker because of a request that it runs.
func (f *fleet) crashBy(a *attempt, i int) {
	f.crashes[a.req.cause] = append(f.crashes[a.req.cause], f.now)
	f.crash(i)
}

// crash ends a worker. It is back after some seconds under another incarnation.
func (f *fleet) crash(i int) {
	w := f.pool[i]
	if !w.isUp {
		return
	}
	id := fmt.Sprintf("w%d.%d", i, w.life)
	w.isUp = false
	w.life++
	f.clear(i, func(a *attempt) {
		d := f.between(0, 20*time.Millisecond)
		progress := a.progress()
		f.atGateway(a, d, func(l *Ledger) {
			if l.RecordCrash(id, a.req.Request, progress, f.clock()) {
				f.tell(a.gateway)
			}
		})
		f.after(d, func() { f.fail(a, i) })
	})
	f.after(f.between(time.Second, 4*time.Second), func() {
		w.isUp = true
		f.reopen()
	})
	if !f.isGroup || f.broken {
		return
	}
	f.broken, f.stalled, f.brokenAt = true, true, f.now
	f.after(stallTime, func() {
		f.stalled = false
		for i := range f.pool {
			f.clear(i, func(a *attempt) { f.fail(a, i) })
		}
		f.reopen()
	})
}

// reopen opens a group whose ranks are all back.
func (f *fleet) reopen() {
	if f.broken && !f.stalled && !slices.ContainsFunc(f.pool, func(w *simWorker) bool { return !w.isUp }) {
		f.broken = false
	}
}

// crashOther crashes one worker, or several at about the same time.
func (f *fleet) crashOther() {
	n := 1
	if f.rng.IntN(4) == 0 {
		n = 1 + f.rng.IntN(len(f.pool))
	}
	for _, i := range f.rng.Perm(len(f.pool))[:n] {
		f.otherCrashes++
		f.after(f.between(0, 200*time.Millisecond), func() { f.crash(i) })
	}
}
