// Package sse reads streams of server-sent events.
package sse
