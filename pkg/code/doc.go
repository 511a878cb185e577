// Package code defines the numeric result codes that callers, operators and processes receive.
//
// Every response carries one code. Its thousands digit states what is known about the request: 1 is
// success, 2 is an error of the caller, 3 means that the request did not run, 4 that its outcome is
// unknown, and 5 is an error of the configuration or the platform. The table docs/result-codes.md
// lists every code; a test compares it with this package.
package code
