package intake

import "bytes"

// What the parts of a head take up once it is parsed, in bytes. A header line has an entry in the parsed head and in the
// copy that is sent to an upstream, an item of a list or of a query one in a list, and each byte is held as read, as parsed and as
// sent.
const (
	headLineCost = 320
	headItemCost = 64
	headByteCost = 3
)

// HeadCost returns what a part of a head takes up as read and as parsed, in bytes.
func HeadCost(part []byte) int64 {
	items := bytes.Count(part, []byte{','}) + bytes.Count(part, []byte{'&'})
	return headCost(len(part), bytes.Count(part, []byte{'\n'}), items)
}

func headCost(size, lines, items int) int64 {
	return headByteCost*int64(size) + headLineCost*int64(lines) + headItemCost*int64(items)
}

// ParsedHeadCost returns what a parsed head takes up, in bytes, and the least size that it had as read, without the request
// line.
func ParsedHeadCost(header map[string][]string) (cost int64, size int) {
	const separators = len(":\n")
	lines, items := 0, 0
	for name, values := range header {
		for _, v := range values {
			lines++
			size += len(name) + len(v) + separators
			for i := range len(v) {
				if v[i] == ',' {
					items++
				}
			}
		}
	}
	return headCost(size, lines, items), size
}

// What the parts of a JSON message take up once it is decoded, in bytes: an object may be empty and still have the size
// of its type.
const (
	messageByteCost   = 4
	messageObjectCost = 256
	messageListCost   = 64
	messageItemCost   = 32
)

// MessageCost returns what a JSON message takes up as read and as decoded, in bytes.
func MessageCost(message []byte) int64 {
	return messageByteCost*int64(len(message)) +
		messageObjectCost*int64(bytes.Count(message, []byte{'{'})) +
		messageListCost*int64(bytes.Count(message, []byte{'['})) +
		messageItemCost*int64(bytes.Count(message, []byte{','}))
}
