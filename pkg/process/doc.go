// Package process contains what all binaries share: the command line, validated settings, logs,
// metrics, the timeline of events, the operators' listener and the life cycle.
//
// Main parses the command line, loads the settings and runs an fx application. A
// first SIGTERM or SIGINT starts a planned stop through the fx stop hooks; a second
// signal, or the stop timeout of the settings, ends the process at once.
package process
