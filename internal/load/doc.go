// Package load sends model requests and service calls of several organisations and compares each
// response with the one expected from the stand-ins.
package load
