// Package resume decides how a stream goes on when its upstream was lost.
//
// A Transcript takes in each event that went to the caller. From it and the request
// follows one of four ways: the request is repeated, as nothing was sent; it is resumed
// on another engine, which is given the text so far as the beginning of its answer; it is
// completed here, as only the end mark is missing; or it cannot go on.
//
// The engine protocol that a resume relies on: the last message has the role assistant
// and holds the text so far; continue_final_message is true and add_generation_prompt
// false; the engine generates what follows that text and sends only that; max_tokens
// counts new tokens only, so that the tokens sent are taken off. An event with content
// counts as one token unless it states usage.completion_tokens.
//
// A stream is resumed only when its continuation is sure to be one of the answers that
// an undisturbed engine could have given. A request with fields other than those known
// to be safe (several choices, tools, a response format, log probabilities, usage
// statistics) is not, and neither is a stream that carried anything but text of one
// choice.
//
// The package has no I/O, no clock and no goroutines.
package resume
