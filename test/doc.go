// Package test holds the end-to-end scenarios. Each script in testdata starts a small fleet of
// separate processes, injects faults and checks the behaviour of the fleet. The functions that
// implement the commands of the scripts are documented with the syntax of the command.
package test
