// Package admission decides how much work an upstream bears.
//
// A Limiter counts requests and expected tokens in progress. It knows two states.
//
// Warming: the limit is the cold limit plus one for each whole answer to a request
// that started in this state. Time alone raises nothing. When no work has run for the
// time Lull, the limit falls back to the cold limit, because a replacement of an
// upstream without work breaks no connection and may go unseen.
//
// Warm: the limit has reached the maximum. It is lowered while parts of answers and
// whole answers take longer than the baseline learned from earlier ones, and raised
// again while they do not.
//
// A warm upstream can turn cold without warning. The limiter therefore keeps the
// starts that nothing has vouched for yet. A part of an answer that arrives in time
// after the one before it vouches for the starts made before the part began; a whole answer without parts, in
// time, vouches for the two oldest. While as many starts as the cold limit are
// unproven, no further request starts unless fewer than the cold limit run. A number
// of late parts or answers in a row sets the upstream back to cold.
//
// A new incarnation of the upstream, a crash, a long time without work and late
// answers set the limit back to the cold limit; requests that were running then do
// not raise the new limit. The package has no clock and no goroutines: callers pass
// the time in.
package admission
