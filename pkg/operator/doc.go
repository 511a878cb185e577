// Package operator provides the HTTP server for operators: health, readiness, metrics, profiles and
// the events of the process.
//
// Health, readiness and metrics require no token, so that probes and scrapers work with their usual
// settings. All other paths require the bearer token of the settings.
package operator
