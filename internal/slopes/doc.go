// Command slopes measures on one machine the cost of each additional peer, change and
// organisation, and extrapolates it linearly to the target size of the system.
// docs/CAPACITY.md quotes a run.
//
// It starts small fleets of separate processes and reads their processor time, bytes and
// memory from /proc. It measures single mechanisms inside its own process. Byte counts are
// those that processes read and write, without the headers of TCP and IP.
package main
