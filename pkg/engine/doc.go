// Package engine is the client of a model engine, as used by its agent.
//
// The engine speaks the chat-completions form over HTTP. A streamed answer is a
// sequence of server-sent events, each with one JSON chunk, that ends with the event
// [DONE]; a stream that ends otherwise is not whole. GET /health answers with the
// incarnation of the engine and the models it holds.
package engine
