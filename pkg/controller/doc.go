// Package controller assembles the controller process, which owns decisions shared by all
// instances.
//
// Every entry instance runs a controller. A controller acts only while it holds the lease of a
// shard, and every order that it sends carries the fencing token of that lease.
package controller
