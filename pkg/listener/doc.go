// Package listener opens the TCP listeners for callers and operators, with TLS if the
// settings contain a certificate and its key.
package listener
