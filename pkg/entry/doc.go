// Package entry assembles the process that accepts requests from callers.
//
// A planned stop removes the entry from the address lists that it and the other entries return,
// keeps serving until the TTL of the last such list has expired, finishes the requests in
// progress and then exits.
package entry
