package membership

import (
	"slices"
	"time"
)

// Options configure a detector. All fields must be set.
type Options struct {
	// Interval is the time between two probes of a process.
	Interval time.Duration
	// Timeout is the time after which a probe counts as missed.
	Timeout time.Duration
	// Suspicion is the time that other watchers have to reach a suspect.
	Suspicion time.Duration
	// Confirmers is the number of other watchers that are asked.
	Confirmers int
}

// DefaultOptions returns the options for the size that the system is designed for.
func DefaultOptions() Options {
	return Options{Interval: 3 * time.Second, Timeout: time.Second, Suspicion: 2 * time.Second, Confirmers: 2}
}

// State is what a detector holds of a process.
type State int

// States of a process.
const (
	// Alive processes answer, or were not probed yet.
	Alive State = iota
	// Suspect processes missed a probe; work still goes to them if they answer it.
	Suspect
	// Unreachable processes answer others but not this one.
	Unreachable
	// Dead processes answer nobody that was asked.
	Dead
)

// Probe asks for a probe of a process.
type Probe struct{ ID string }

// Confirm asks another watcher to probe a process.
type Confirm struct{ ID, By string }

// Change states that the state of a process changed. Those to and from Dead are news
// for others.
type Change struct {
	ID          string
	Incarnation string
	From, To    State
}

// Actions are what a step asks its caller to do.
type Actions struct {
	Probes   []Probe
	Confirms []Confirm
	Changes  []Change
}

// target is a watched process.
type target struct {
	id string
	// far is set for a process of another zone.
	far         bool
	others      []string
	incarnation string
	state       State
	next        time.Time
	// sent is when the probe that is under way was sent, or the zero value.
	sent      time.Time
	suspected time.Time
	denied    int
	asked     int
}

// Detector watches processes. It is not safe for concurrent use.
type Detector struct {
	opts    Options
	targets map[string]*target
	order   []string
	last    time.Time
}

// NewDetector returns a detector without targets.
func NewDetector(o Options) *Detector {
	return &Detector{opts: o, targets: map[string]*target{}}
}

// Watch starts to watch a process; others are its other watchers. Probes of the processes
// are spread over the interval by their names. Watching a known process again
// replaces its other watchers.
func (d *Detector) Watch(now time.Time, id string, others []string) {
	if t, ok := d.targets[id]; ok {
		t.others = others
		return
	}
	phase := time.Duration(score("phase", id) % uint64(d.opts.Interval))
	d.targets[id] = &target{id: id, others: others, next: now.Add(phase)}
	d.order = append(d.order, id)
}

// WatchFar starts to watch a process of another zone. A silence of it may be that of the way
// between the zones, so that it becomes unreachable and never dead, unless its connection
// is refused.
func (d *Detector) WatchFar(now time.Time, id string) {
	d.Watch(now, id, nil)
	d.targets[id].far = true
}

// Forget stops to watch a process.
func (d *Detector) Forget(id string) {
	delete(d.targets, id)
	d.order = slices.DeleteFunc(d.order, func(o string) bool { return o == id })
}

// State returns the state of a process; one that is not watched is alive.
func (d *Detector) State(id string) State {
	if t, ok := d.targets[id]; ok {
		return t.state
	}
	return Alive
}

// Answered takes in the answer to a probe, or any other message of the process.
func (d *Detector) Answered(now time.Time, id, incarnation string) Actions {
	var a Actions
	t, ok := d.targets[id]
	if !ok {
		return a
	}
	t.incarnation = incarnation
	t.sent = time.Time{}
	a.change(t, Alive)
	return a
}

// Closed takes in that the connection to an incarnation ended although the host
// answers: the process has ended. The end of an earlier incarnation changes nothing.
func (d *Detector) Closed(id, incarnation string) Actions {
	var a Actions
	t, ok := d.targets[id]
	if ok && t.incarnation == incarnation {
		t.sent = time.Time{}
		a.change(t, Dead)
	}
	return a
}

// Confirmed takes in what another watcher found when it probed a suspect.
func (d *Detector) Confirmed(id string, reached bool) Actions {
	var a Actions
	t, ok := d.targets[id]
	if !ok || t.state != Suspect && t.state != Dead {
		return a
	}
	if reached {
		a.change(t, Unreachable)
		return a
	}
	t.denied++
	return a
}

// Tick takes in the time. Call it several times in each timeout; a longer pause between two
// calls means that this process was paused, and nobody is accused for that time.
func (d *Detector) Tick(now time.Time) Actions {
	var a Actions
	if !d.last.IsZero() && now.Sub(d.last) > d.opts.Timeout/2 {
		d.excuse(now)
	}
	d.last = now
	isolated := d.isolated(now)
	for _, id := range d.order {
		t := d.targets[id]
		d.judge(now, t, isolated, &a)
		if t.sent.IsZero() && !now.Before(t.next) {
			t.sent = now
			t.next = now.Add(d.opts.Interval)
			a.Probes = append(a.Probes, Probe{id})
		}
	}
	return a
}

// judge moves a process along when its probe or its suspicion has run out.
func (d *Detector) judge(now time.Time, t *target, isolated bool, a *Actions) {
	missed := !t.sent.IsZero() && now.Sub(t.sent) >= d.opts.Timeout
	if missed {
		t.sent = time.Time{}
	}
	switch {
	case t.state == Alive && missed && !isolated:
		d.suspect(now, t, a)
	case t.state == Suspect && t.far && d.lost(now, t):
		a.change(t, Unreachable)
	case t.state == Suspect && isolated:
		t.suspected = now
	case t.state == Suspect && d.lost(now, t):
		a.change(t, Dead)
	case t.state == Unreachable && missed && !isolated && !t.far:
		d.suspect(now, t, a)
	}
}

func (d *Detector) suspect(now time.Time, t *target, a *Actions) {
	t.suspected = now
	t.denied = 0
	t.asked = min(d.opts.Confirmers, len(t.others))
	// The next probe comes at once: most losses are of one message.
	t.next = now
	a.change(t, Suspect)
	for _, o := range t.others[:t.asked] {
		a.Confirms = append(a.Confirms, Confirm{t.id, o})
	}
}

// lost reports whether a suspect counts as dead: all that were asked deny it, or the
// time of the suspicion is over and nobody has reached it.
func (d *Detector) lost(now time.Time, t *target) bool {
	if t.asked > 0 && t.denied >= t.asked && now.Sub(t.suspected) >= d.opts.Timeout {
		return true
	}
	return now.Sub(t.suspected) >= d.opts.Suspicion
}

// isolated reports whether more than half of the watched processes of the zone miss their probe at
// once, so that the fault is likely on this side.
func (d *Detector) isolated(now time.Time) bool {
	missing, living := 0, 0
	for _, t := range d.targets {
		if t.state == Dead || t.far {
			continue
		}
		living++
		if t.state == Suspect || !t.sent.IsZero() && now.Sub(t.sent) >= d.opts.Timeout {
			missing++
		}
	}
	return living >= minIsolation && 2*missing > living
}

// minIsolation is the least number of watched processes that can tell isolation.
const minIsolation = 3

// excuse starts all probes and suspicions anew after a pause of this process.
func (d *Detector) excuse(now time.Time) {
	for _, t := range d.targets {
		if !t.sent.IsZero() {
			t.sent = now
		}
		if t.state == Suspect {
			t.suspected = now
		}
	}
}

func (a *Actions) change(t *target, to State) {
	if t.state == to {
		return
	}
	a.Changes = append(a.Changes, Change{ID: t.id, Incarnation: t.incarnation, From: t.state, To: to})
	t.state = to
}
