// Package gate judges the results of "go test -json" against a list of known failures.
//
// Each line of the list that is not blank and does not begin with "#" starts with the
// full name of a test, the import path and the name joined by a dot, and a "|". A run
// passes when every test that failed is on the list or failed only through subtests on it.
package gate
