// Package operator serves operators over HTTP: health, readiness, metrics and the
// events of the process.
//
// Health, readiness and metrics need no token, so that probes and scrapers work
// with their usual settings. Everything else needs the bearer token of the settings.
package operator
