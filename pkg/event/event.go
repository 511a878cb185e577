package event

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	ProcessStarted  Kind = "process-started"
	ProcessStopping Kind = "process-stopping"
	ProcessStopped  Kind = "process-stopped"
	// RequestReceived to RequestEnded are recorded by entries.
	RequestReceived Kind = "request-received"
	AttemptSent     Kind = "attempt-sent"
	AttemptEnded    Kind = "attempt-ended"
	RequestEnded    Kind = "request-ended"
	// WorkStarted to WorkCancelled are recorded by agents. WorkRefused means that an attempt was
	// rejected before it started, WorkCancelled that a cancellation was received for it.
	WorkStarted   Kind = "work-started"
	WorkEnded     Kind = "work-ended"
	WorkRefused   Kind = "work-refused"
	WorkCancelled Kind = "work-cancelled"
	// ConfigAdopted means that a configuration version came into force in the process.
	ConfigAdopted  Kind = "configuration-adopted"
	ConfigAccepted Kind = "configuration-accepted"
	// ProcessDead means that another process does not respond, ProcessBack that it responds again.
	ProcessDead Kind = "process-dead"
	ProcessBack Kind = "process-back"
	// InstanceListTaken means that the instance list was taken from a peer.
	InstanceListTaken Kind = "instance-list-taken"
	// ConfigRepaired means that the process stored its configuration again after the platform was
	// reset. ConfigEditDisplaced means that this replaced an edit made in the meantime.
	ConfigRepaired      Kind = "configuration-repaired"
	ConfigEditDisplaced Kind = "configuration-edit-displaced"
	// UpstreamFound and UpstreamGone mean that an instance was added to or removed from the list.
	UpstreamFound   Kind = "upstream-found"
	UpstreamGone    Kind = "upstream-gone"
	InstanceLeaving Kind = "instance-leaving"
	// ZoneLeft means that the availability zone was taken out, ZoneReturned that it is in use again.
	ZoneLeft     Kind = "zone-left"
	ZoneReturned Kind = "zone-returned"
	// UpstreamCold and UpstreamWarm mean that the agent changed the admission limit between the cold
	// and the warm state.
	UpstreamCold  Kind = "upstream-cold"
	Verdict       Kind = "verdict"
	UpstreamWarm  Kind = "upstream-warm"
	LeaseAcquired Kind = "lease-acquired"
	LeaseLost     Kind = "lease-lost"
	// FrameDropped means that a response ended without a valid terminal frame.
	FrameDropped Kind = "frame-dropped"
	// ClaimRefused means that an idempotency key could not be claimed, ClaimReplayed that the stored
	// response of an earlier request was returned.
	ClaimRefused  Kind = "claim-refused"
	ClaimReplayed Kind = "claim-replayed"
	// StreamResumed means that another attempt continues an incomplete stream, StreamCompleted that
	// only its closing events were missing and the entry sent them.
	StreamResumed   Kind = "stream-resumed"
	StreamCompleted Kind = "stream-completed"
	// GroupOwned and GroupReleased mean that the controller acquired or lost the lease of a group.
	GroupOwned    Kind = "group-owned"
	GroupReleased Kind = "group-released"
	// GroupShort means that the live ranks of a group have too few slots for its experts.
	GroupShort Kind = "group-short"
	// MapDecided means that the controller decided on a new expert map for a group.
	MapDecided Kind = "map-decided"
	// RankLost means that a map is planned for fewer ranks than the group should have.
	RankLost          Kind = "rank-lost"
	PlatformLost      Kind = "platform-lost"
	PlatformRecovered Kind = "platform-recovered"
)

// Event is one entry of the timeline. Empty fields do not apply.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	// Request is the request ID.
	Request string `json:"request,omitempty"`
	// Attempt is the number of the attempt, from 1; in RequestEnded it is the number of attempts.
	Attempt       int    `json:"attempt,omitempty"`
	Organisation  string `json:"organisation,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Zone          string `json:"zone,omitempty"`
	ConfigVersion int64  `json:"config_version,omitempty"`
	// Code is a result code of package code.
	Code   int    `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Recorder stamps events, stores the newest in a ring buffer and writes each as one log line. It is
// safe for concurrent use.
type Recorder struct {
	process string
	clock   *Clock
	log     hclog.Logger

	mu   sync.Mutex
	ring []Event
	// next is the index of ring that the next event is written to.
	next int
	// wrapped is set once the ring is full and the oldest event is at next.
	wrapped bool
}

// RingSize is the number of events that a process stores.
const RingSize = 8192

// NewRecorder returns a recorder for the named process. If log is nil, events are not logged.
func NewRecorder(process string, clock *Clock, log hclog.Logger) *Recorder {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return &Recorder{process: process, clock: clock, log: log, ring: make([]Event, RingSize)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps, stores and logs e. It sets the fields Stamp and Process.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	r.mu.Lock()
	e.Stamp = r.clock.Now()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.wrapped = true
	}
	r.mu.Unlock()
	r.logEvent(e)
}

func (r *Recorder) logEvent(e Event) {
	args := make([]any, 0, 20)
	add := func(k string, v any, set bool) {
		if set {
			args = append(args, k, v)
		}
	}
	add("request", e.Request, e.Request != "")
	add("attempt", e.Attempt, e.Attempt != 0)
	add("organisation", e.Organisation, e.Organisation != "")
	add("upstream", e.Upstream, e.Upstream != "")
	add("zone", e.Zone, e.Zone != "")
	add("config_version", e.ConfigVersion, e.ConfigVersion != 0)
	add("code", e.Code, e.Code != 0)
	add("detail", e.Detail, e.Detail != "")
	r.log.Info(string(e.Kind), args...)
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wrapped {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	out := make([]Event, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
