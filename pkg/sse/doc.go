// Package sse splits a stream of server-sent events into its events.
package sse
