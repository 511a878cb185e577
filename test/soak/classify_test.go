package soak

import (
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// resetWriter accepts some writes and then fails like a connection that was reset.
type resetWriter struct{ accepted int }

// Write implements io.Writer.
func (w *resetWriter) Write(p []byte) (int, error) {
	if w.accepted--; w.accepted >= 0 {
		return len(p), nil
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

// A gateway that stops closes its listener, and the kernel resets a connection that it had not accepted; where that met
// the body of a request, the soak took it for bytes that are no answer (seed 5009 with 20 gateways).
func TestResetDuringTheBodyOfARequestIsAReset(t *testing.T) {
	is := is.New(t)
	for accepted := range 3 {
		for _, length := range []int64{-1, 100_000} {
			req, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("x", 100_000)))
			is.NoErr(err)
			req.ContentLength = length
			err = writeRequest(&resetWriter{accepted}, req)
			is.True(err != nil)
			is.Equal(classify(err), endReset)
		}
	}
}
