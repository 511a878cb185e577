package peer

import "github.com/coltsfootpitch/coltsfootpitch/pkg/poison"

// MethodVerdict sends verdicts on requests that crash upstreams to another process.
const MethodVerdict = "verdict"

// VerdictRequest carries verdicts on request fingerprints.
type VerdictRequest struct {
	SenderState
	Verdicts []poison.Verdict `json:"verdicts"`
}

// VerdictResult confirms that the verdicts of a VerdictRequest are in force at the receiver.
type VerdictResult struct {
	SenderState
}
