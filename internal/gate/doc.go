// Package gate compares the results of "go test -json" with a list of known failures.
//
// Each line of the list that is not blank and does not begin with "#" starts with the full name
// of a test (the import path and the name, joined by a dot), followed by a "|". A run passes
// when it has at least one test and every test that failed is on the list, or failed only
// because subtests on the list failed. A package that failed without a failed test fails the run.
package gate
