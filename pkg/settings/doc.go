// Package settings reads the YAML settings file of a process.
//
// A file is decoded strictly: unknown fields are errors. Values are then checked against the
// validate tags of the target. Each error names the field, its value, the reason and the line of
// the file.
package settings
