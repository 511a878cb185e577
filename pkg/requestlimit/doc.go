// Package requestlimit enforces the limits that upstreams name: how many requests per second each takes from
// all gateways together.
//
// An upstream in need names its limit in each answer. A Book has what each upstream said last; gateways
// exchange their books, and the newest statement wins. A limit ends with an answer that names none, if its
// request was sent after the limit was last named: older answers may still be on their way.
//
// Limits of a few requests per second cannot be divided among many gateways. One gateway, the
// coordinator, therefore grants each request to a limited upstream. The gateways choose it by rendezvous
// hashing over those they hear from, so that it needs no election. A Granter has the token buckets of the
// upstreams that its gateway coordinates.
//
// Gateways may disagree for a while about who is there. A gateway that becomes coordinator starts with an
// empty bucket, and grants nothing until the others have noticed too (SettleTime). While some gateways are not heard
// from, a coordinator grants only a share of the limit, since they may have one of their own (View.Share).
//
// The package has no I/O, no clock and no goroutines.
package requestlimit
