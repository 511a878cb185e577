// Package configuration defines the configuration document that operators edit.
//
// The document has sections that are owned by different teams: availability zones, models,
// services, organisations and limits. A document is immutable once parsed; each accepted edit
// gives it a higher version. Check validates all sections together, so that an invalid document
// is rejected as a whole and changes nothing. Holder keeps the newest document that a process
// has adopted and never replaces it with a lower version.
package configuration
