// Package objects is a small stand-in for the platform's object API and instance list.
//
// It stores objects in memory and serves the protocol of package platform. Faults can be
// injected over HTTP: an outage, a delay, and the loss of the responses to writes that took
// effect.
package objects
