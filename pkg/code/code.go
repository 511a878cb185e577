package code

import "net/http"

// Code is a numeric result code. The zero value is not valid.
type Code int

// Outcome states what is known about a request that carries a code.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the request ran and its response is complete.
	Done Outcome = "done"
	// Rejected means that the request was rejected for an error of the caller and did not run.
	Rejected Outcome = "rejected"
	// NotRun means that the request is known not to have run and may be sent again.
	NotRun Outcome = "not run"
	// Unknown means that the request may have run.
	Unknown Outcome = "outcome unknown"
	// Failed means that an operation of an operator, of the platform or within a process failed.
	Failed Outcome = "failed"
)

// Codes, grouped by outcome. The texts of Info explain them.
const (
	OK        Code = 1000
	Duplicate Code = 1001

	MalformedRequest     Code = 2001
	Unauthorised         Code = 2002
	OrganisationMismatch Code = 2003
	UnknownModel         Code = 2004
	UnknownService       Code = 2005
	BodyTooLarge         Code = 2006
	BadDeadline          Code = 2007
	CallerGone           Code = 2008
	KeyReused            Code = 2009
	CrashingRequest      Code = 2010
	UpstreamRejected     Code = 2011

	Overloaded          Code = 3001
	ZoneOut             Code = 3002
	UpstreamLeaving     Code = 3003
	StaleIncarnation    Code = 3004
	StartBudgetExpired  Code = 3005
	Tombstoned          Code = 3006
	NoUpstream          Code = 3007
	RetryBudgetSpent    Code = 3008
	OrganisationLimit   Code = 3009
	EntryStopping       Code = 3010
	UpstreamUnreachable Code = 3011
	DeadlineTooShort    Code = 3012
	ClaimUnavailable    Code = 3013
	NotConfigured       Code = 3014
	SuspectNotAlone     Code = 3015

	UpstreamLost      Code = 4001
	AgentLost         Code = 4002
	AnswerNotWhole    Code = 4003
	DeadlineExceeded  Code = 4004
	ClaimUnsettled    Code = 4005
	AlreadyInProgress Code = 4006
	AnswerNotKept     Code = 4007

	InvalidConfiguration  Code = 5001
	ConfigurationConflict Code = 5002
	PlatformUnavailable   Code = 5003
	StaleFence            Code = 5004
	Internal              Code = 5005
)

// Info describes a code.
type Info struct {
	// Name is a unique identifier in kebab case.
	Name string
	// HTTPStatus is the HTTP status of the error response, if nothing of another response was sent
	// before.
	HTTPStatus int
	// Text explains the code to a caller in one sentence.
	Text string
}

var infoByCode = map[Code]Info{
	OK:        {"ok", http.StatusOK, "The answer is whole."},
	Duplicate: {"duplicate", http.StatusOK, "The recorded answer of an earlier request with the same idempotency key is returned."},

	MalformedRequest:     {"malformed-request", http.StatusBadRequest, "The request cannot be parsed."},
	Unauthorised:         {"unauthorised", http.StatusUnauthorized, "The bearer token belongs to no organisation."},
	OrganisationMismatch: {"organisation-mismatch", http.StatusForbidden, "A header names another organisation than the bearer token."},
	UnknownModel:         {"unknown-model", http.StatusNotFound, "The model is not in the configuration."},
	UnknownService:       {"unknown-service", http.StatusNotFound, "The service is not in the configuration."},
	BodyTooLarge:         {"body-too-large", http.StatusRequestEntityTooLarge, "The body exceeds the configured limit."},
	BadDeadline:          {"bad-deadline", http.StatusBadRequest, "The timeout header is not a positive number of milliseconds."},
	CallerGone:           {"caller-gone", 499, "The caller closed the connection before the answer was whole."},
	KeyReused:            {"key-reused", http.StatusUnprocessableEntity, "The idempotency key was used before with a different request."},
	CrashingRequest:      {"crashing-request", http.StatusUnprocessableEntity, "The request crashed upstreams and is refused. Do not send it again."},
	UpstreamRejected:     {"upstream-rejected", http.StatusBadGateway, "The upstream answered with an error status."},

	Overloaded:          {"overloaded", http.StatusServiceUnavailable, "No upstream can bear more work now."},
	ZoneOut:             {"zone-out", http.StatusServiceUnavailable, "The availability zone is taken out."},
	UpstreamLeaving:     {"upstream-leaving", http.StatusServiceUnavailable, "The upstream is leaving."},
	StaleIncarnation:    {"stale-incarnation", http.StatusServiceUnavailable, "The attempt was addressed to an earlier incarnation of the agent."},
	StartBudgetExpired:  {"start-budget-expired", http.StatusServiceUnavailable, "The attempt could not start within its start budget."},
	Tombstoned:          {"tombstoned", http.StatusServiceUnavailable, "The attempt was cancelled before it started."},
	NoUpstream:          {"no-upstream", http.StatusServiceUnavailable, "No live upstream holds the model or service."},
	RetryBudgetSpent:    {"retry-budget-spent", http.StatusServiceUnavailable, "The retry budget of the organisation is spent."},
	OrganisationLimit:   {"organisation-limit", http.StatusTooManyRequests, "The organisation has too many requests in progress."},
	EntryStopping:       {"entry-stopping", http.StatusServiceUnavailable, "This entry is stopping; use another address."},
	UpstreamUnreachable: {"upstream-unreachable", http.StatusServiceUnavailable, "The upstream could not be reached; nothing was sent."},
	DeadlineTooShort:    {"deadline-too-short", http.StatusServiceUnavailable, "The expected wait exceeds the deadline."},
	ClaimUnavailable:    {"claim-unavailable", http.StatusServiceUnavailable, "The idempotency key cannot be claimed now."},
	NotConfigured:       {"not-configured", http.StatusServiceUnavailable, "No configuration is in force yet."},
	SuspectNotAlone:     {"suspect-not-alone", http.StatusServiceUnavailable, "The request ran when an upstream crashed; it runs again only alone."},

	UpstreamLost:      {"upstream-lost", http.StatusBadGateway, "The upstream was lost after the request may have started."},
	AgentLost:         {"agent-lost", http.StatusBadGateway, "The agent was lost after the request may have started."},
	AnswerNotWhole:    {"answer-not-whole", http.StatusBadGateway, "The answer ended without a valid terminal frame."},
	DeadlineExceeded:  {"deadline-exceeded", http.StatusGatewayTimeout, "The deadline passed after the request may have started."},
	ClaimUnsettled:    {"claim-unsettled", http.StatusBadGateway, "An earlier request with this idempotency key may have run."},
	AlreadyInProgress: {"already-in-progress", http.StatusConflict, "A request with this idempotency key is in progress."},
	AnswerNotKept:     {"answer-not-kept", http.StatusConflict, "A request with this idempotency key ran to its end, but its answer is not kept."},

	InvalidConfiguration:  {"invalid-configuration", http.StatusUnprocessableEntity, "The configuration is not valid."},
	ConfigurationConflict: {"configuration-conflict", http.StatusConflict, "Another operator changed the same section."},
	PlatformUnavailable:   {"platform-unavailable", http.StatusServiceUnavailable, "The platform does not answer."},
	StaleFence:            {"stale-fence", http.StatusConflict, "The order carries an old fencing number."},
	Internal:              {"internal", http.StatusInternalServerError, "An internal fault occurred."},
}

// Info returns the description of c, or that of Internal if c is not a known code.
func (c Code) Info() Info {
	if i, ok := infoByCode[c]; ok {
		return i
	}
	return infoByCode[Internal]
}

// String returns the name of c.
func (c Code) String() string { return c.Info().Name }

// Outcome returns what is known about a request that ended with c.
func (c Code) Outcome() Outcome {
	switch c / 1000 {
	case 1:
		return Done
	case 2:
		return Rejected
	case 3:
		return NotRun
	case 4:
		return Unknown
	}
	return Failed
}

// All returns every known code with its description.
func All() map[Code]Info {
	all := make(map[Code]Info, len(infoByCode))
	for c, i := range infoByCode {
		all[c] = i
	}
	return all
}
