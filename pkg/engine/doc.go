// Package engine is the client of a model engine, as used by its agent.
//
// The engine serves the chat-completions protocol over HTTP. A streamed response is a sequence
// of server-sent events, each with one JSON chunk, that ends with the event [DONE]; a stream
// that ends otherwise is incomplete. GET /health returns the incarnation of the engine and the
// models that it has loaded.
package engine
