// Package service is the client of a plain service, as used by its agent.
//
// A plain service speaks HTTP. Its answer is whole when the HTTP framing says so.
package service
