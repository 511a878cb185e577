// Command slopes measures on one machine what each further peer, change or organisation
// costs, and works the figures out at the size aimed for. docs/CAPACITY.md quotes a run.
//
// It starts small fleets of separate processes and reads their processor time, bytes and
// memory from the system, and measures single mechanisms inside its own process. Bytes
// are those that processes read and write, without the headers of TCP and IP.
package main
