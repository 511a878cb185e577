// Package test holds the scripted scenarios. Each script in testdata starts a small
// fleet of separate processes and states what must hold while faults are brought about.
package test
