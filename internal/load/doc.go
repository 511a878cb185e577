// Package load sends mixed requests of several organisations and checks each answer
// against the one that the stand-ins must give.
package load
