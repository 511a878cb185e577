// Package objects is a small stand-in for the platform's object API and instance list.
//
// It keeps objects in memory and serves the protocol of package platform. Faults can
// be switched on over HTTP: an outage, a delay, and the loss of answers to writes that
// took effect.
package objects
