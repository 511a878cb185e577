// Package peer implements the protocol between the processes of the system.
//
// Control messages are JSON-RPC 2.0 over TCP, with one connection for each pair of
// processes and a length prefix on each message. Each message carries SenderState: the
// clock stamp of the sender and the version of the configuration it has in force. A receiver
// with an older version requests the configuration document.
//
// Attempts travel over HTTP, one attempt per HTTP exchange, so that response bytes need
// no further encoding. The entry posts a RunRequest; the agent sends the bytes of the
// response and ends with a RunResult in the trailer. The RunResult is the terminal frame:
// it names the request, the attempt and the incarnation of the agent, and carries the
// length and checksum of the response. Without a matching RunResult the response is
// incomplete.
package peer
