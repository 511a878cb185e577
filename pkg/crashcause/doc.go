// Package crashcause finds out which requests crash upstreams.
//
// A request that crashes its upstream may come again, or others may come that share with it only a
// part of their prompts. What can be at fault is a trait: a shared part of a prompt, or the content of
// one request. The evidence is, for each crash, which requests were running, how far the answer to each had come
// (Progress), and which of their traits other requests have that came farther, before or after: a trait that
// crashes upstreams never gets that far. A stream begins to be answered with its first event, any other request when
// its answer is whole: the head of an answer may be sent before the work. An answer is whole if one upstream has
// produced all of it; the rest of a stream that went on elsewhere shows nothing.
//
// So there are two kinds of explanation for a crash. A trait may crash upstreams before answers begin; then only
// requests without an event are suspect, and each first event clears its traits. Or it may do so at any time before
// they are whole; then all running requests are suspect, and only whole answers clear. Explanations of the second kind by
// a part of prompts need more crashes and come last, since parts in use everywhere are at most crashes by chance.
//
// A Ledger convicts the traits that explain the crashes best: those with which no request came
// farther before, and of these the one that the most crashes have in common. The crashes that it explains count
// for no other. A trait needs several crashes at different moments, since upstreams that fail together
// for another reason have many traits in common; it needs more of them if requests with it were
// answered before. A single request is convicted at the second crash, whatever explains its crashes, as that costs no
// other request. Traits that only ever crashed together are convicted together: requests that have
// all of them are rejected, and the first request with some of them tells which is at fault. Others
// that cannot be told apart wait for one more crash. A conviction is withdrawn when new evidence is
// explained better by other traits.
//
// Processes exchange their evidence. It only grows, so that it may be lost, doubled or reordered on the
// way, and processes with the same evidence convict the same traits. It carries ages instead of times
// of day, which may differ between machines.
//
// The package has no I/O, no clock and no goroutines.
package crashcause
