package peer

import "github.com/coltsfootpitch/coltsfootpitch/pkg/poison"

// MethodVerdict tells a process of requests that crash upstreams.
const MethodVerdict = "verdict"

// VerdictRequest carries verdicts to another process.
type VerdictRequest struct {
	News
	Verdicts []poison.Verdict `json:"verdicts"`
}

// VerdictResult says that the verdicts of a VerdictRequest are in force at the receiver.
type VerdictResult struct {
	News
}
