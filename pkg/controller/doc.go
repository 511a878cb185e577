// Package controller assembles the process that owns shared decisions.
//
// Every entry instance runs one. A controller acts only while it holds the lease of a
// shard, and every order it gives carries the fencing number of that lease.
package controller
