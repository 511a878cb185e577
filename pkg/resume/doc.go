// Package resume decides how a stream continues after its upstream was lost.
//
// A Transcript records each event that was sent to the caller. From the transcript and the
// request, Plan selects one of four ways to continue: the request is repeated, as nothing was
// sent; it is resumed on another engine, which receives the text so far as the beginning of
// its response; it is completed locally, as only the closing events are missing; or it cannot
// continue.
//
// Resuming relies on this engine protocol: the last message has the role assistant and holds
// the text so far; continue_final_message is true and add_generation_prompt false; the engine
// generates what follows that text and sends only that; max_tokens counts new tokens only, so
// the tokens already sent are subtracted. An event with content counts as one token unless it
// states usage.completion_tokens.
//
// A stream is resumed only if its continuation is certain to be a response that an engine
// could have generated without the interruption. A request with fields other than those known
// to be safe (for example several choices, tools, a response format, log probabilities or
// usage statistics) is not resumed, and neither is a stream that carried anything but text of
// one choice.
//
// The package has no I/O, no clock and no goroutines.
package resume
