// Package code numbers the results that callers, operators and processes see.
//
// Every answer carries one code. Its thousands digit states what is known about
// the request: 1 is success, 2 is a fault of the caller, 3 states that the
// request did not run, 4 states that the outcome is unknown, 5 is a fault of
// configuration or of the platform. The table docs/result-codes.md lists every
// code and is checked against this package by a test.
package code
