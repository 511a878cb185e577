// Package listener opens the TCP listeners for callers and operators, with TLS where
// the settings give a certificate and its key.
package listener
