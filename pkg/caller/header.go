package caller

import "github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"

// Header fields of callers.
const (
	// HeaderRequestID names the request; the entry gives a name when the caller does not.
	HeaderRequestID = "X-Request-Id"
	// HeaderOrganisation may name the organisation; it must be that of the token.
	HeaderOrganisation = "X-Organisation"
	// HeaderTimeout is the time for the whole answer in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotencyKey names a request that may arrive more than once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCode is the numbered result code of an answer.
	HeaderCode = dispatch.HeaderResultCode
	// HeaderUpstream names the upstream that served the answer.
	HeaderUpstream = "X-Upstream"
)
