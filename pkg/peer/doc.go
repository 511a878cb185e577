// Package peer is the protocol between the system's own processes: JSON-RPC 2.0
// over TCP, one connection for each pair of processes, length-prefixed messages.
//
// An entry calls Run at an agent. The agent sends the bytes of the answer as
// frames (notifications on the same connection, in order) and then the result,
// which is the terminal frame: it carries the length and checksum of the answer. A
// frame names the request, the attempt and the incarnation of the agent; the
// receiver drops a frame that matches no attempt in progress.
//
// Each message carries News: the sender's clock stamp and the version of the
// configuration it has in force. A receiver that is behind asks for the document.
package peer
