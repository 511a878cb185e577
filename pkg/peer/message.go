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

// SenderState is sent with every message.
type SenderState struct {
	// Stamp is the clock stamp of the sender.
	Stamp event.Stamp `json:"stamp"`
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion int64 `json:"config_version"`
}

// WorkKind distinguishes model requests from calls to a plain service.
type WorkKind string

// Kinds of work.
const (
	ModelWork   WorkKind = "model"
	ServiceWork WorkKind = "service"
)

// Header is one HTTP header field of a request or response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// RunRequest requests that an agent run one attempt of a request at its upstream.
type RunRequest struct {
	SenderState
	// CallID is the ID that the entry assigned to the request. It is unique over all entries
	// and their incarnations.
	CallID string `json:"call"`
	// RequestID is the ID that the caller chose. It need not be unique.
	RequestID string `json:"request"`
	// Attempt is the number of the attempt within the request.
	Attempt int `json:"attempt"`
	// Entry is the name of the entry that sends the attempt.
	Entry string `json:"from"`
	// Incarnation is the incarnation of the agent that the attempt is addressed to.
	Incarnation string `json:"incarnation"`
	// IssuedAtMillis is a time at or before the sending of the request, in milliseconds since
	// the start of the agent's incarnation.
	IssuedAtMillis int64  `json:"issued_ms"`
	Organisation   string `json:"organisation"`
	Priority       int    `json:"priority"`
	// Weight is the fair-share weight of the organisation.
	Weight int      `json:"weight"`
	Kind   WorkKind `json:"kind"`
	// Target is the name of the model or of the service.
	Target string `json:"target"`
	// Method, Path, Headers and Body are those of the HTTP request to the upstream.
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Stream is set when the response is a stream of server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Idempotent is set when the request may run more than once.
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the caller's key, empty when there is none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Fingerprint identifies the content of the request. It is the same when another caller
	// sends the same content.
	Fingerprint poison.Fingerprint `json:"fingerprint,omitempty"`
	// Isolated is set when no other attempt may run at the upstream at the same time.
	Isolated bool `json:"alone,omitempty"`
	// Cost is the expected cost in tokens; a service call costs 1.
	Cost int64 `json:"cost"`
	// StartWithinMillis is the time after IssuedAtMillis within which the attempt must start, in
	// milliseconds.
	StartWithinMillis int64 `json:"start_by_ms"`
	// TimeoutMillis is the time after receipt within which the response must be complete, in
	// milliseconds.
	TimeoutMillis int64 `json:"timeout_ms"`
}

// Frame is a part of a response that an agent sends to an entry.
type Frame struct {
	// Offset is the number of response bytes before this frame.
	Offset int64
	Data   []byte
	// Status and Headers are set in the first frame only.
	Status  int
	Headers []Header
	// HasMore is set when the next frame is already available, so that the writer need not flush
	// after this one.
	HasMore bool
}

// RunResult states how an attempt ended.
type RunResult struct {
	SenderState
	Code   code.Code `json:"code"`
	Detail string    `json:"detail,omitempty"`
	// CallID, RequestID, Attempt and Incarnation identify the attempt.
	CallID      string `json:"call"`
	RequestID   string `json:"request"`
	Attempt     int    `json:"attempt"`
	Incarnation string `json:"incarnation"`
	// Length is the number of bytes of the complete response and Checksum their xxHash64.
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum,string"`
	// Tokens is the number of tokens generated, 0 for a service call.
	Tokens int64 `json:"tokens,omitempty"`
	// RetryAfterMillis is the agent's estimate of the time until it can accept the work, in
	// milliseconds, 0 if unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// AgentStatus is the state of the agent at the end of the attempt.
	AgentStatus Status `json:"load"`
}

// CancelRequest requests that an agent end an attempt, or keep it from starting if it has not
// started yet.
type CancelRequest struct {
	SenderState
	// CallID, RequestID, Attempt, Incarnation and IssuedAtMillis are those of the RunRequest.
	CallID         string `json:"call"`
	RequestID      string `json:"request"`
	Attempt        int    `json:"attempt"`
	Incarnation    string `json:"incarnation"`
	IssuedAtMillis int64  `json:"issued_ms"`
}

// CancelState is the state of an attempt after a cancel request.
type CancelState string

// States of a cancelled attempt.
const (
	// CancelNotRun means that the attempt did not start and never will.
	CancelNotRun CancelState = "not-run"
	// CancelStarted means that the attempt had started. The agent ends it if possible.
	CancelStarted CancelState = "started"
)

// CancelResult is the response to a CancelRequest.
type CancelResult struct {
	SenderState
	State CancelState `json:"state"`
}

// StatusRequest requests the state of an agent.
type StatusRequest struct {
	SenderState
	// Requester is the name of the requesting process.
	Requester string `json:"from"`
	// Listing is the entry of the agent in the instance list, as known to the requesting process.
	Listing Listing `json:"listed"`
	// NextCacheEvent is the number of the first cache event that the requesting process lacks.
	NextCacheEvent int64 `json:"cache_after,omitempty"`
}

// Status is the state of an agent and its upstream.
type Status struct {
	SenderState
	Upstream    string `json:"upstream"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// WorkAddress is the host:port to which attempts are sent.
	WorkAddress string `json:"work_address,omitempty"`
	// ClockMillis is the time since the start of the incarnation, in milliseconds.
	ClockMillis int64 `json:"clock_ms"`
	// Models and Services are the names of what the upstream serves.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Limit is the current concurrency limit of the upstream, in requests.
	Limit int `json:"limit"`
	// Running and Queued count the attempts in progress and in the queue of the agent.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// FromRequester is the part of Running plus Queued that the requesting entry sent.
	FromRequester int `json:"yours"`
	// Cold is set while the upstream warms up.
	Cold bool `json:"cold"`
	// Leaving is set while the agent accepts no new attempts because it is being removed.
	Leaving bool `json:"leaving"`
	// ZoneOut is set while the availability zone of the agent is taken out of service.
	ZoneOut bool `json:"zone_out,omitempty"`
	// Reachable is set while the upstream responds to its agent.
	Reachable bool `json:"reachable"`
	// MeanServiceMillis is the mean service time of the most recent requests, in milliseconds.
	MeanServiceMillis float64 `json:"service_ms"`
	// CacheEvents holds cache events of the upstream. It is set only in responses to a
	// StatusRequest.
	CacheEvents prefix.Events `json:"cache,omitzero"`
	// Verdicts are the most recent verdicts on requests that crash upstreams.
	Verdicts []poison.Verdict `json:"verdicts,omitempty"`
}
