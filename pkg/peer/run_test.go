package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// scriptedRunner returns the same frames and result for every attempt.
type scriptedRunner struct {
	frames [][]byte
	result RunResult
}

func (s *scriptedRunner) Run(_ context.Context, out FrameSender, _ RunRequest) RunResult {
	sum := xxhash.New()
	for i, data := range s.frames {
		f := Frame{Data: data}
		if i == 0 {
			f.Status = http.StatusOK
		}
		_, _ = sum.Write(data)
		s.result.Length += int64(len(data))
		if out.Send(f) != nil {
			break
		}
	}
	s.result.Checksum = sum.Sum64()
	return s.result
}

// recordResponse returns the bytes of the HTTP response in which an agent sends the frames
// and the result of s.
func recordResponse(t *rapid.T, s *scriptedRunner) []byte {
	client, server := net.Pipe()
	l := &singleConnListener{conn: server, closed: make(chan struct{})}
	srv := &http.Server{Handler: WorkHandler(s, Credentials{})}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	go func() {
		_, _ = fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer \r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", RunPath)
	}()
	text, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conn   net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// newReplayClient returns a client whose agent responds with the given bytes.
func newReplayClient(response []byte) *Client {
	c := &Client{}
	c.runClient = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				// Reads up to the end of the request body.
				buf := make([]byte, 64<<10)
				for {
					n, err := server.Read(buf)
					if err != nil || bytes.HasSuffix(buf[:n], []byte("}")) {
						break
					}
				}
				_, _ = server.Write(response)
			}()
			return client, nil
		},
	}}
	return c
}

func TestTruncatedMismatchedOrCorruptedResponseIsNeverComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.Bool().Draw(t, "stream")
		s := &scriptedRunner{result: RunResult{Code: code.OK, CallID: "c", Attempt: 1, Incarnation: "i"}}
		for n := range rapid.IntRange(1, 4).Draw(t, "frames") {
			s.frames = append(s.frames, fmt.Appendf(nil, "data: %d%s\n\n", n, rapid.StringMatching("[a-z]{0,40}").Draw(t, "text")))
		}
		want := bytes.Join(s.frames, nil)
		fault := rapid.SampledFrom([]string{"none", "cut", "call", "attempt", "incarnation", "flip"}).Draw(t, "fault")
		switch fault {
		case "call":
			s.result.CallID = "other"
		case "attempt":
			s.result.Attempt = 2
		case "incarnation":
			s.result.Incarnation = "other"
		}
		response := recordResponse(t, s)
		switch fault {
		case "cut":
			response = response[:rapid.IntRange(0, len(response)-1).Draw(t, "at")]
		case "flip":
			body := bytes.Index(response, s.frames[0])
			response[body+len("data: ")]++
		}
		var got []byte
		request := RunRequest{CallID: "c", Attempt: 1, Incarnation: "i", Stream: stream}
		res, err := newReplayClient(response).Run(context.Background(), "agent", request, func(f Frame) error {
			got = append(got, f.Data...)
			return nil
		})
		complete := err == nil && res.Code == code.OK
		if complete != (fault == "none") {
			t.Fatalf("fault %s: error %v, code %v", fault, err, res.Code)
		}
		if complete && !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
		if fault == "cut" && !bytes.HasPrefix(want, got) {
			t.Fatalf("got %q, which is no prefix of %q", got, want)
		}
	})
}
