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
