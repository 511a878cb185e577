// Package service is the client that an agent uses to call a plain service.
//
// A plain service is called over HTTP. Its response is complete if its HTTP framing shows so.
package service
