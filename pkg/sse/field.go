package sse

import "bytes"

var idField = []byte("id:")

// ID returns the value of the id field of an event, or "" if it has none.
func ID(event []byte) string {
	for _, line := range bytes.Split(event, []byte{'\n'}) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

var dataField = []byte("data")

// HasData reports whether an event has a data field. Receivers ignore one that has none, such as a
// comment that keeps a connection alive.
func HasData(event []byte) bool {
	for _, line := range bytes.Split(event, []byte{'\n'}) {
		name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		if bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}
