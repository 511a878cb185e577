// Package configuration holds the document that operators edit.
//
// The document has sections that belong to different teams: availability zones,
// models, services, organisations and limits. A document is immutable once parsed and
// carries a version that only rises. Check validates all sections together, so
// that an invalid document is refused as a whole and changes nothing. Holder keeps
// the newest adopted document of a process and never goes back to a lower version.
package configuration
