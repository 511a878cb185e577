// Package ctl implements the commands of coltsfootctl, the command-line tool of operators.
package ctl
