package peer

import "github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"

// MethodClaim sends an operation on an idempotency claim to the entry that coordinates the
// partition of the claim.
const MethodClaim = "claim"

// ClaimRequest carries one claim operation.
type ClaimRequest struct {
	SenderState
	Op idempotency.Op `json:"op"`
}

// ClaimResult is the response to a ClaimRequest, sent once the operation is committed.
type ClaimResult struct {
	SenderState
	// Confirmed is false when the platform did not confirm the operation. Whether the
	// operation took effect is then unknown.
	Confirmed bool                 `json:"available"`
	Decision  idempotency.Decision `json:"decision"`
}
