package membership

import (
	"slices"
	"time"
)

// Options configures a Detector. All fields must be set.
type Options struct {
	// ProbeInterval is the period between two probes of the same process.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a probe counts as missed.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect that no watcher has reached counts as dead.
	SuspicionTimeout time.Duration
	// MaxConfirmers is the maximum number of other watchers that are requested to probe a suspect.
	MaxConfirmers int
}

// DefaultOptions returns the options for a system of the size given in the package comment.
func DefaultOptions() Options {
	return Options{ProbeInterval: 3 * time.Second, ProbeTimeout: time.Second, SuspicionTimeout: 2 * time.Second, MaxConfirmers: 2}
}

// State is the state of a process as a Detector sees it.
type State int

// States of a process.
const (
	// Alive processes respond to probes or have not been probed yet.
	Alive State = iota
	// Suspect processes missed a probe. They still receive work as long as they respond to it.
	Suspect
	// Unreachable processes respond to another watcher but not to this one, or run in another
	// zone and do not respond.
	Unreachable
	// Dead processes respond to none of the requested watchers, or closed their connection.
	Dead
)

// Probe requests a probe of the process ID.
type Probe struct{ ID string }

// Confirm requests that Watcher probe the suspect ID.
type Confirm struct{ ID, Watcher string }

// StateChange is a change of the state of a process. Changes to and from Dead are distributed to
// other processes.
type StateChange struct {
	ID          string
	Incarnation string
	From, To    State
}

// Actions lists what the caller of a Detector method must do.
type Actions struct {
	Probes   []Probe
	Confirms []Confirm
	Changes  []StateChange
}

// target is a watched process.
type target struct {
	id string
	// otherZone is set for a process of another zone.
	otherZone     bool
	otherWatchers []string
	incarnation   string
	state         State
	nextProbe     time.Time
	// probeSent is the time at which the outstanding probe was sent, or zero if there is none.
	probeSent   time.Time
	suspectedAt time.Time
	// confirmsFailed counts the watchers that did not reach the suspect, of the confirmsSent
	// watchers that were requested to probe it.
	confirmsFailed int
	confirmsSent   int
}

// Detector detects failures of the processes that it watches. It is not safe for concurrent use.
type Detector struct {
	opts    Options
	targets map[string]*target
	// orderedIDs holds the IDs of the targets in the order in which they were added.
	orderedIDs []string
	lastTick   time.Time
}

// NewDetector returns a detector without targets.
func NewDetector(o Options) *Detector {
	return &Detector{opts: o, targets: map[string]*target{}}
}

// Watch starts watching a process; others are the IDs of its other watchers. The hash of the ID
// sets the offset of the first probe, so that the probes of all processes are spread over the
// interval. If the process is already watched, Watch only replaces its other watchers.
func (d *Detector) Watch(now time.Time, id string, others []string) {
	if t, ok := d.targets[id]; ok {
		t.otherWatchers = others
		return
	}
	phase := time.Duration(rendezvousScore("phase", id) % uint64(d.opts.ProbeInterval))
	d.targets[id] = &target{id: id, otherWatchers: others, nextProbe: now.Add(phase)}
	d.orderedIDs = append(d.orderedIDs, id)
}

// WatchOtherZone starts watching a process of another zone. If such a process does not respond, the
// network between the zones may have failed, so it becomes Unreachable. It becomes Dead only if
// its connection is refused.
func (d *Detector) WatchOtherZone(now time.Time, id string) {
	d.Watch(now, id, nil)
	d.targets[id].otherZone = true
}

// Unwatch stops watching a process.
func (d *Detector) Unwatch(id string) {
	delete(d.targets, id)
	d.orderedIDs = slices.DeleteFunc(d.orderedIDs, func(o string) bool { return o == id })
}

// State returns the state of a process, or Alive if it is not watched.
func (d *Detector) State(id string) State {
	if t, ok := d.targets[id]; ok {
		return t.state
	}
	return Alive
}

// HandleResponse records the response to a probe, or any other message from the process.
func (d *Detector) HandleResponse(now time.Time, id, incarnation string) Actions {
	var a Actions
	t, ok := d.targets[id]
	if !ok {
		return a
	}
	t.incarnation = incarnation
	t.probeSent = time.Time{}
	a.setState(t, Alive)
	return a
}

// HandleConnectionClosed records that the connection to an incarnation of a process was closed or
// refused while its host responds, which means that the process has exited. A closed connection of
// an earlier incarnation is ignored.
func (d *Detector) HandleConnectionClosed(id, incarnation string) Actions {
	var a Actions
	t, ok := d.targets[id]
	if ok && t.incarnation == incarnation {
		t.probeSent = time.Time{}
		a.setState(t, Dead)
	}
	return a
}

// HandleConfirmResult records whether another watcher reached a suspect.
func (d *Detector) HandleConfirmResult(id string, reached bool) Actions {
	var a Actions
	t, ok := d.targets[id]
	if !ok || t.state != Suspect && t.state != Dead {
		return a
	}
	if reached {
		a.setState(t, Unreachable)
		return a
	}
	t.confirmsFailed++
	return a
}

// Tick advances the detector to now. It must be called several times per
// Options.ProbeTimeout. A gap
// of more than half of the timeout between two calls means that this process was paused; Tick then
// restarts the timeouts of outstanding probes and suspicions.
func (d *Detector) Tick(now time.Time) Actions {
	var a Actions
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.opts.ProbeTimeout/2 {
		d.restartTimers(now)
	}
	d.lastTick = now
	isolated := d.isIsolated(now)
	for _, id := range d.orderedIDs {
		t := d.targets[id]
		d.updateState(now, t, isolated, &a)
		if t.probeSent.IsZero() && !now.Before(t.nextProbe) {
			t.probeSent = now
			t.nextProbe = now.Add(d.opts.ProbeInterval)
			a.Probes = append(a.Probes, Probe{id})
		}
	}
	return a
}

// updateState changes the state of a process whose probe or suspicion has timed out.
func (d *Detector) updateState(now time.Time, t *target, isolated bool, a *Actions) {
	missed := !t.probeSent.IsZero() && now.Sub(t.probeSent) >= d.opts.ProbeTimeout
	if missed {
		t.probeSent = time.Time{}
	}
	switch {
	case t.state == Alive && missed && !isolated:
		d.markSuspect(now, t, a)
	case t.state == Suspect && t.otherZone && d.isSuspicionOver(now, t):
		a.setState(t, Unreachable)
	case t.state == Suspect && isolated:
		t.suspectedAt = now
	case t.state == Suspect && d.isSuspicionOver(now, t):
		a.setState(t, Dead)
	case t.state == Unreachable && missed && !isolated && !t.otherZone:
		d.markSuspect(now, t, a)
	}
}

func (d *Detector) markSuspect(now time.Time, t *target, a *Actions) {
	t.suspectedAt = now
	t.confirmsFailed = 0
	t.confirmsSent = min(d.opts.MaxConfirmers, len(t.otherWatchers))
	// Probe again at once, as in most cases only a single message is lost.
	t.nextProbe = now
	a.setState(t, Suspect)
	for _, o := range t.otherWatchers[:t.confirmsSent] {
		a.Confirms = append(a.Confirms, Confirm{t.id, o})
	}
}

// isSuspicionOver reports whether the suspicion of a process ends without a response: no requested
// watcher reached it, or the suspicion timed out.
func (d *Detector) isSuspicionOver(now time.Time, t *target) bool {
	if t.confirmsSent > 0 && t.confirmsFailed >= t.confirmsSent && now.Sub(t.suspectedAt) >= d.opts.ProbeTimeout {
		return true
	}
	return now.Sub(t.suspectedAt) >= d.opts.SuspicionTimeout
}

// isIsolated reports whether more than half of the watched processes of this zone miss their probes
// at the same time, in which case this process is probably the one that is disconnected.
func (d *Detector) isIsolated(now time.Time) bool {
	missing, notDead := 0, 0
	for _, t := range d.targets {
		if t.state == Dead || t.otherZone {
			continue
		}
		notDead++
		if t.state == Suspect || !t.probeSent.IsZero() && now.Sub(t.probeSent) >= d.opts.ProbeTimeout {
			missing++
		}
	}
	return notDead >= minProcessesForIsolation && 2*missing > notDead
}

// minProcessesForIsolation is the minimum number of watched processes from which isolation of
// this process can be inferred.
const minProcessesForIsolation = 3

// restartTimers restarts the timeouts of all probes and suspicions after this process was paused.
func (d *Detector) restartTimers(now time.Time) {
	for _, t := range d.targets {
		if !t.probeSent.IsZero() {
			t.probeSent = now
		}
		if t.state == Suspect {
			t.suspectedAt = now
		}
	}
}

func (a *Actions) setState(t *target, to State) {
	if t.state == to {
		return
	}
	a.Changes = append(a.Changes, StateChange{ID: t.id, Incarnation: t.incarnation, From: t.state, To: to})
	t.state = to
}
