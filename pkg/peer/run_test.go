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

// scripted answers every attempt with the same frames and result.
type scripted struct {
	frames [][]byte
	result RunResult
}

func (s *scripted) Run(_ context.Context, out Sender, _ RunRequest) RunResult {
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

// record returns the bytes that an agent answers to an attempt.
func record(t *rapid.T, s *scripted) []byte {
	client, server := net.Pipe()
	l := &oneConn{conn: server, end: make(chan struct{})}
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

// oneConn is a listener with one connection.
type oneConn struct {
	conn net.Conn
	end  chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.end
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	select {
	case <-l.end:
	default:
		close(l.end)
	}
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// replay is an agent whose answer is the given bytes.
func replay(answer []byte) *Client {
	c := &Client{}
	c.runs = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				// The end of the request's body.
				buf := make([]byte, 64<<10)
				for {
					n, err := server.Read(buf)
					if err != nil || bytes.HasSuffix(buf[:n], []byte("}")) {
						break
					}
				}
				_, _ = server.Write(answer)
			}()
			return client, nil
		},
	}}
	return c
}

func TestAnswerCutCrossedOrChangedIsNeverCalledWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.Bool().Draw(t, "stream")
		s := &scripted{result: RunResult{Code: code.OK, Call: "c", Attempt: 1, Incarnation: "i"}}
		for n := range rapid.IntRange(1, 4).Draw(t, "frames") {
			s.frames = append(s.frames, fmt.Appendf(nil, "data: %d%s\n\n", n, rapid.StringMatching("[a-z]{0,40}").Draw(t, "text")))
		}
		want := bytes.Join(s.frames, nil)
		fault := rapid.SampledFrom([]string{"none", "cut", "call", "attempt", "incarnation", "flip"}).Draw(t, "fault")
		switch fault {
		case "call":
			s.result.Call = "other"
		case "attempt":
			s.result.Attempt = 2
		case "incarnation":
			s.result.Incarnation = "other"
		}
		answer := record(t, s)
		switch fault {
		case "cut":
			answer = answer[:rapid.IntRange(0, len(answer)-1).Draw(t, "at")]
		case "flip":
			body := bytes.Index(answer, s.frames[0])
			answer[body+len("data: ")]++
		}
		var got []byte
		request := RunRequest{Call: "c", Attempt: 1, Incarnation: "i", Stream: stream}
		res, err := replay(answer).Run(context.Background(), "agent", request, func(f Frame) error {
			got = append(got, f.Data...)
			return nil
		})
		whole := err == nil && res.Code == code.OK
		if whole != (fault == "none") {
			t.Fatalf("fault %s: error %v, code %v", fault, err, res.Code)
		}
		if whole && !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
		if fault == "cut" && !bytes.HasPrefix(want, got) {
			t.Fatalf("got %q, which does not begin %q", got, want)
		}
	})
}
