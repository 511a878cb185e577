package peer

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// Methods of the protocol.
const (
	MethodCancel    = "cancel"
	MethodStatus    = "status"
	MethodConfigure = "configure"
)

// News travels with every message.
type News struct {
	Stamp         event.Stamp `json:"stamp"`
	ConfigVersion int64       `json:"config_version"`
}

// WorkKind tells model requests from calls of a plain service.
type WorkKind string

// Kinds of work.
const (
	ModelWork   WorkKind = "model"
	ServiceWork WorkKind = "service"
)

// Header is one HTTP header field of a call.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// RunRequest asks an agent to run one attempt of a request at its upstream.
type RunRequest struct {
	News
	// Call is the identity that the entry gave to the request; it is unique over all
	// entries and their lives, while the caller chooses Request.
	Call    string `json:"call"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// From is the name of the entry.
	From string `json:"from"`
	// Incarnation is the incarnation of the agent that the attempt is addressed to.
	Incarnation string `json:"incarnation"`
	// IssuedMillis is a time not after the sending, on the clock of the incarnation.
	IssuedMillis int64    `json:"issued_ms"`
	Organisation string   `json:"organisation"`
	Priority     int      `json:"priority"`
	Weight       int      `json:"weight"`
	Kind         WorkKind `json:"kind"`
	// Target is the name of the model or of the service.
	Target string `json:"target"`
	// Method, Path and Headers are those of the call to the upstream.
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Stream is set when the answer is a stream of server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Idempotent is set when the request may run more than once.
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the caller's key, empty when there is none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Fingerprint identifies what the caller asks for, whoever sends it again.
	Fingerprint poison.Fingerprint `json:"fingerprint,omitempty"`
	// Alone is set when nothing else may run beside the attempt.
	Alone bool `json:"alone,omitempty"`
	// Cost is the expected cost in tokens; a service call costs 1.
	Cost int64 `json:"cost"`
	// StartByMillis is the time from the issue within which the attempt may start.
	StartByMillis int64 `json:"start_by_ms"`
	// TimeoutMillis is the time from receipt within which the answer must be whole.
	TimeoutMillis int64 `json:"timeout_ms"`
}

// Frame is a piece of an answer on its way from the agent to the entry.
type Frame struct {
	// Offset is the number of answer bytes before this frame.
	Offset int64
	Data   []byte
	// Status and Headers are set in the first frame only.
	Status  int
	Headers []Header
	// More is set when the next frame follows at once.
	More bool
}

// RunResult ends an attempt.
type RunResult struct {
	News
	Code   code.Code `json:"code"`
	Detail string    `json:"detail,omitempty"`
	// Call, Request, Attempt and Incarnation tell which attempt ended.
	Call        string `json:"call"`
	Request     string `json:"request"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	// Length is the number of bytes of the whole answer and Checksum their xxHash64.
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum,string"`
	// Tokens is the number of tokens generated, 0 for a service call.
	Tokens int64 `json:"tokens,omitempty"`
	// RetryAfterMillis is the agent's estimate of when it can take the work, 0 when unknown.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	Load             Status `json:"load"`
}

// CancelRequest asks an agent to end an attempt, or to see that it never starts.
type CancelRequest struct {
	News
	// Call, Request, Attempt, Incarnation and IssuedMillis are those of the RunRequest.
	Call         string `json:"call"`
	Request      string `json:"request"`
	Attempt      int    `json:"attempt"`
	Incarnation  string `json:"incarnation"`
	IssuedMillis int64  `json:"issued_ms"`
}

// CancelState states what became of a cancelled attempt.
type CancelState string

// States after a cancel.
const (
	// CancelNotRun means that the attempt did not start and never will.
	CancelNotRun CancelState = "not-run"
	// CancelStarted means that the attempt had started; it is ended where possible.
	CancelStarted CancelState = "started"
)

// CancelResult answers a CancelRequest.
type CancelResult struct {
	News
	State CancelState `json:"state"`
}

// StatusRequest asks an agent for its state.
type StatusRequest struct {
	News
	// From is the name of the asking process.
	From   string `json:"from"`
	Listed Listed `json:"listed"`
	// CacheAfter is the number of the first cache event that the asking process lacks.
	CacheAfter int64 `json:"cache_after,omitempty"`
}

// Status is the state of an agent and its upstream.
type Status struct {
	News
	Upstream    string `json:"upstream"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// WorkAddress is the host:port to which attempts are sent.
	WorkAddress string `json:"work_address,omitempty"`
	// ClockMillis is the time since the start of the incarnation.
	ClockMillis int64    `json:"clock_ms"`
	Models      []string `json:"models,omitempty"`
	Services    []string `json:"services,omitempty"`
	// Limit is the number of requests that the upstream bears now.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Yours is the part of Running and Queued that the asking entry sent.
	Yours int `json:"yours"`
	// Cold is set while the upstream warms up.
	Cold    bool `json:"cold"`
	Leaving bool `json:"leaving"`
	// ZoneOut is set while the availability zone of the agent is taken out.
	ZoneOut bool `json:"zone_out,omitempty"`
	// Reachable is set while the upstream answers its agent.
	Reachable bool `json:"reachable"`
	// ServiceMillis is the mean service time of the newest requests.
	ServiceMillis float64 `json:"service_ms"`
	// Cache holds cache events of the upstream, in answers to a status call only.
	Cache prefix.Events `json:"cache,omitzero"`
	// Verdicts are the newest verdicts on requests that crash upstreams.
	Verdicts []poison.Verdict `json:"verdicts,omitempty"`
}
