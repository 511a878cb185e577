// Package model is a small stand-in for a model engine.
//
// It answers chat-completions requests with a text that follows from the prompt, so
// that a test can tell the whole and right answer from any other. It bears few
// requests when it has just started and more with each completed one; a request
// beyond that, or one whose prompt holds PoisonText, crashes it: all connections are
// cut and it comes back with a new incarnation after a pause. A ledger tells what ran.
package model
