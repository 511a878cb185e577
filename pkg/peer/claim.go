package peer

import "github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"

// MethodClaim hands an operation on a claim to the entry that is the home of its
// partition.
const MethodClaim = "claim"

// ClaimRequest carries one operation.
type ClaimRequest struct {
	News
	Op idempotency.Op `json:"op"`
}

// ClaimResult answers a ClaimRequest once the operation is committed.
type ClaimResult struct {
	News
	// Available is false when the platform did not settle the operation; its effect is
	// then unknown.
	Available bool                 `json:"available"`
	Decision  idempotency.Decision `json:"decision"`
}
