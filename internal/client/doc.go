// Package client is a caller of the system, for the demo and for tests.
//
// It asks an entry which addresses to use, keeps the answer for its life, and tells a
// whole answer from one that was cut.
package client
