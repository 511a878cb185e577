// Package fleet starts the processes of small deployments on loopback, for the demo and for
// tests. It stands in for the providers' machines: it writes settings files, starts, stops and
// kills processes, sends them signals, and maintains the instance list.
package fleet
