// Package ctl has the commands of coltsfootctl, the operators' tool.
package ctl
