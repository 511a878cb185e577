// Package model is a small stand-in for a model engine.
//
// It responds to chat-completions requests with a text that is a function of the prompt, so
// that a test can check that a response is complete and correct. Its concurrency limit is low
// after a start and rises by one with each completed request. A request beyond the limit, or
// one whose prompt contains PoisonText, crashes the engine: all connections are closed, and the
// engine restarts with a new incarnation after a delay. A ledger counts the runs of each
// request.
package model
