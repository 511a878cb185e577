package idempotency

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Pending   State = "pending"
	Done      State = "done"
	Unsettled State = "unsettled"
)

// Header is a header field of a kept answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Answer is the kept answer of a run.
type Answer struct {
	Status  int      `json:"s"`
	Headers []Header `json:"h,omitempty"`
	Body    []byte   `json:"b,omitempty"`
}

// Claim is the record of one key.
type Claim struct {
	// ID is the identity under which the entry asked.
	ID string `json:"i"`
	// Fingerprint tells requests apart that use the same key.
	Fingerprint uint64 `json:"f,string"`
	State       State  `json:"s"`
	// DeadlineMillis is the Unix time at which a pending claim counts as unsettled.
	DeadlineMillis int64 `json:"d"`
	// ExpiresMillis is the Unix time at which the claim may be dropped.
	ExpiresMillis int64   `json:"e"`
	Answer        *Answer `json:"a,omitempty"`
}

// OpKind names an operation.
type OpKind string

// Operations on a claim.
const (
	// Ask asks for the claim of a key.
	Ask OpKind = "ask"
	// Finish ends a claim as done.
	Finish OpKind = "finish"
	// Abandon ends a claim as unsettled.
	Abandon OpKind = "abandon"
	// Release removes the claim of a run that did not take place.
	Release OpKind = "release"
)

// Op is one operation on the claim of a key. ID and Key are always set.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  Key    `json:"key"`
	ID   string `json:"id"`
	// Fingerprint, Timeout and TTL belong to Ask. The claim counts as unsettled after
	// Timeout and expires after TTL.
	Fingerprint uint64        `json:"fingerprint,string,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty"`
	TTL         time.Duration `json:"ttl,omitempty"`
	// Answer belongs to Finish; nil means that it is not kept.
	Answer *Answer `json:"answer,omitempty"`
}

// Decision answers an Op.
type Decision struct {
	// Code is OK when the claim was given or changed.
	Code code.Code `json:"code"`
	// Answer is set with code Duplicate.
	Answer *Answer `json:"answer,omitempty"`
}
