// Package upstream has the types that an agent shares with the clients of its
// upstream, whether a model engine or a plain service.
package upstream
