package caller

import "github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"

// Header fields of requests from callers and of responses to them.
const (
	// HeaderRequestID is the request ID; the entry generates one if the caller sends none.
	HeaderRequestID = "X-Request-Id"
	// HeaderOrganisation is the optional name of the organisation; it must match the bearer token.
	HeaderOrganisation = "X-Organisation"
	// HeaderTimeout is the time in milliseconds within which the response must be complete.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotencyKey identifies a request that the caller may send more than once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResultCode is the numeric result code of a response.
	HeaderResultCode = dispatch.HeaderResultCode
	// HeaderUpstream is the name of the upstream that served the response.
	HeaderUpstream = "X-Upstream"
)
