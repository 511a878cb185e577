// Package upstream defines the interface between an agent and the client of its upstream,
// which is a model engine or a plain service, and the HTTP code that these clients share.
package upstream
