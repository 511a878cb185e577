// Package fleet starts the processes of small deployments on loopback, for the demo
// and for tests. It plays the part of the providers' machines: it writes settings
// files, starts, stops, kills and freezes processes, and keeps the instance list.
package fleet
