// Package admission limits the work in progress at one upstream.
//
// A Limiter counts the requests in progress and their expected tokens. It has two states.
//
// Warming: the limit is the cold limit plus one for each complete response, in time, to a
// request that started in this state. Time alone does not raise it. After WarmupIdleTimeout
// without running work the limit returns to the cold limit, because a replacement of an
// idle upstream breaks no connection and may not be detected.
//
// Warm: the limit has reached the maximum. It is lowered while parts of responses and
// complete responses take longer than the baseline computed from earlier ones, and raised
// again while they do not.
//
// A warm upstream can become cold without notice. The limiter therefore records the
// unconfirmed starts, those without evidence that the upstream was still warm. A part of a
// response that arrives in time after the previous part confirms the starts made up to that
// previous part; a complete response without parts, in time, confirms the two oldest starts.
// While as many starts as the cold limit are unconfirmed, another request starts only if
// fewer requests than the cold limit are running. A number of consecutive late parts or
// responses resets the upstream to cold.
//
// A new incarnation of the upstream, a crash, a long time without work and late responses
// reset the limit to the cold limit; requests that were running at the reset do not raise
// the new limit. The package has no clock and no goroutines: callers pass the time in.
package admission
