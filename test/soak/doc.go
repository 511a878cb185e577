// Package soak runs gateway processes under a random schedule of planned stops, kills, configurations
// and faults, and checks what callers and workers have seen against the rules of the platform.
package soak
