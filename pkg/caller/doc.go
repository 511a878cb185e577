// Package caller serves callers over HTTP.
//
//	GET  /v1/addresses          which entry addresses to use, and for how long
//	GET  /v1/models             the models of the configuration
//	POST /v1/chat/completions   a model request, streamed as server-sent events on request
//	ANY  /services/NAME/PATH    a call of a plain service
//
// A caller proves its organisation with a bearer token. A refusal is a JSON body with
// the numbered code, its outcome and a text, and a Retry-After header where the
// request may be sent again. A stream that cannot be finished ends with an error event
// in place of the event [DONE].
package caller
