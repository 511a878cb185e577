package event

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	ProcessStarted    Kind = "process-started"
	ProcessStopping   Kind = "process-stopping"
	ProcessStopped    Kind = "process-stopped"
	RequestReceived   Kind = "request-received"
	AttemptSent       Kind = "attempt-sent"
	AttemptEnded      Kind = "attempt-ended"
	RequestEnded      Kind = "request-ended"
	WorkStarted       Kind = "work-started"
	WorkEnded         Kind = "work-ended"
	WorkRefused       Kind = "work-refused"
	WorkCancelled     Kind = "work-cancelled"
	ConfigAdopted     Kind = "configuration-adopted"
	ConfigAccepted    Kind = "configuration-accepted"
	ProcessDead       Kind = "process-dead"
	ProcessBack       Kind = "process-back"
	InstancesTaken    Kind = "instance-list-taken"
	ConfigRepaired    Kind = "configuration-repaired"
	ConfigDisplaced   Kind = "configuration-edit-displaced"
	UpstreamFound     Kind = "upstream-found"
	UpstreamGone      Kind = "upstream-gone"
	InstanceLeaving   Kind = "instance-leaving"
	ZoneLeft          Kind = "zone-left"
	ZoneReturned      Kind = "zone-returned"
	UpstreamCold      Kind = "upstream-cold"
	Verdict           Kind = "verdict"
	UpstreamWarm      Kind = "upstream-warm"
	LeaseAcquired     Kind = "lease-acquired"
	LeaseLost         Kind = "lease-lost"
	FrameDropped      Kind = "frame-dropped"
	ClaimRefused      Kind = "claim-refused"
	ClaimReplayed     Kind = "claim-replayed"
	StreamResumed     Kind = "stream-resumed"
	StreamCompleted   Kind = "stream-completed"
	GroupOwned        Kind = "group-owned"
	GroupReleased     Kind = "group-released"
	GroupShort        Kind = "group-short"
	MapDecided        Kind = "map-decided"
	RankLost          Kind = "rank-lost"
	PlatformLost      Kind = "platform-lost"
	PlatformRecovered Kind = "platform-recovered"
)

// Event is one entry of the time line. Empty fields do not apply.
type Event struct {
	Stamp         Stamp  `json:"stamp"`
	Process       string `json:"process"`
	Kind          Kind   `json:"kind"`
	Request       string `json:"request,omitempty"`
	Attempt       int    `json:"attempt,omitempty"`
	Organisation  string `json:"organisation,omitempty"`
	Upstream      string `json:"upstream,omitempty"`
	Zone          string `json:"zone,omitempty"`
	ConfigVersion int64  `json:"config_version,omitempty"`
	Code          int    `json:"code,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// Recorder stamps events, keeps the newest in a ring and writes each as one log line.
type Recorder struct {
	process string
	clock   *Clock
	log     hclog.Logger

	mu   sync.Mutex
	ring []Event
	next int
	full bool
}

// RingSize is the number of events a process keeps.
const RingSize = 8192

// NewRecorder returns a recorder for the named process. A nil log writes nothing.
func NewRecorder(process string, clock *Clock, log hclog.Logger) *Recorder {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return &Recorder{process: process, clock: clock, log: log, ring: make([]Event, RingSize)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps and stores e. Stamp and Process of e are set by the recorder.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	r.mu.Lock()
	e.Stamp = r.clock.Now()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
	r.mu.Unlock()
	r.write(e)
}

func (r *Recorder) write(e Event) {
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

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	out := make([]Event, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
