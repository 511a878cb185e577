package idempotency

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Pending means that the run has not ended.
	Pending State = "pending"
	// Done means that the run has ended.
	Done State = "done"
	// Unsettled means that it is unknown whether the run took place.
	Unsettled State = "unsettled"
)

// Header is a header field of a stored response.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Response is the stored response of a run.
type Response struct {
	Status  int      `json:"s"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
}

// Claim is the record of one key.
type Claim struct {
	// ID identifies the request that was granted the claim. Repeats by the caller have other
	// IDs.
	ID string `json:"i"`
	// Fingerprint distinguishes requests that use the same key.
	Fingerprint uint64 `json:"f,string"`
	State       State  `json:"s"`
	// DeadlineMillis is the Unix time in milliseconds at which a pending claim counts as
	// unsettled.
	DeadlineMillis int64 `json:"d"`
	// ExpiresMillis is the Unix time in milliseconds at which the claim may be dropped.
	ExpiresMillis int64     `json:"e"`
	Response      *Response `json:"a,omitempty"`
}

// OpKind is the kind of an operation on a claim.
type OpKind string

// Operations on a claim.
const (
	// Acquire requests the claim of a key.
	Acquire OpKind = "ask"
	// Finish marks a claim as done.
	Finish OpKind = "finish"
	// Abandon marks a claim as unsettled.
	Abandon OpKind = "abandon"
	// Release removes the claim of a run that did not take place.
	Release OpKind = "release"
)

// Op is one operation on the claim of a key. Kind, Key and ID are always set.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  Key    `json:"key"`
	// ID is the identity of the request that the claim was granted to.
	ID string `json:"id"`
	// Fingerprint, Timeout and TTL are set for Acquire only. A pending claim counts as unsettled
	// after Timeout, and a claim expires after TTL.
	Fingerprint uint64        `json:"fingerprint,string,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty"`
	TTL         time.Duration `json:"ttl,omitempty"`
	// Response may be set for Finish; nil means that the response is not stored.
	Response *Response `json:"answer,omitempty"`
}

// Decision is the result of an Op.
type Decision struct {
	// Code is OK when the claim was granted or changed.
	Code code.Code `json:"code"`
	// Response is the stored response; it is set with code Duplicate only.
	Response *Response `json:"answer,omitempty"`
}
