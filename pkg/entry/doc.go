// Package entry assembles the process that takes callers.
//
// A planned stop takes the entry out of the addresses that it and the others answer,
// goes on serving for the life of such an answer, finishes the requests in progress
// and then ends.
package entry
