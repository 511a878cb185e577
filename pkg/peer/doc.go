// Package peer is the protocol between the system's own processes.
//
// Control messages are JSON-RPC 2.0 over TCP: one connection for each pair of
// processes, length-prefixed messages. Each message carries News: the sender's clock
// stamp and the version of the configuration it has in force. A receiver that is
// behind asks for the document.
//
// Attempts travel over HTTP, each in an exchange of its own, because the bytes of an
// answer then pass without an encoding. The entry posts a RunRequest; the agent
// answers with the bytes of the answer and ends with a RunResult in the trailer,
// which is the terminal frame: it names the request, the attempt and the incarnation
// of the agent, and carries the length and checksum of the answer. An exchange
// without a matching result is not whole.
package peer
