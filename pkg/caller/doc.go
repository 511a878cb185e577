// Package caller serves callers over HTTP.
//
//	GET  /v1/addresses          addresses of the entries and their TTL
//	GET  /v1/models             the models of the configuration
//	POST /v1/chat/completions   a model request, streamed as server-sent events on request
//	ANY  /services/NAME/PATH    a request to a plain service
//
// A bearer token authenticates the organisation of a caller. A rejected request gets a JSON body
// with the result code, its outcome and a message, and a Retry-After header if the request may be
// sent again. A stream that cannot be completed ends with an error event instead of the event
// [DONE].
package caller
