package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// breakAfterTwoEvents sends two of three events and breaks off inside the third.
var breakAfterTwoEvents behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(3, 2) }

// closeAfterHead ends an unframed stream before its first event.
var closeAfterHead behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.CloseAfterHead }

// respondWith sends a signed response that is not a stream.
func respondWith(status int, body string) behaviour {
	return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, _ *http.Request) {
			w.Sign(rw)
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, body)
		}
	}
}

// A stream broke off after its head was sent, and the attempt that should have resumed it got a
// response that is not a stream: the caller received the events so far as a complete response.
func TestLaterResponseThatIsNoStreamDoesNotCompleteABrokenStream(t *testing.T) {
	cases := map[string]behaviour{
		"500":             respondWith(http.StatusInternalServerError, ""),
		"500 with a body": respondWith(http.StatusInternalServerError, "failed"),
		"504":             respondWith(http.StatusGatewayTimeout, ""),
		"404":             respondWith(http.StatusNotFound, ""),
	}
	for name, later := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 2)
			b.configure("1")
			b.setBehaviours(breakAfterTwoEvents, later)
			_, text, _, err := b.call("/stream/x", "key-1", "")
			is.Equal(strings.Count(text, "data:"), 2)
			is.True(err != nil) // the caller must see that the response is not complete
			is.Equal(b.requestCount(), 2)
		})
	}
}

// A resumed stream with neither length nor chunks ended with its connection before its first event:
// the caller received the events of the earlier attempt as a complete response.
func TestUnframedStreamWithoutEventsDoesNotCompleteABrokenStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(breakAfterTwoEvents, closeAfterHead)
	_, text, _, err := b.call("/stream/x", "key-1", "")
	is.Equal(strings.Count(text, "data:"), 2)
	is.True(err != nil) // the caller must see that the response is not complete
}

// A stream with neither length nor chunks that ends with its connection before its first event has
// been broken off: the caller received an empty stream as a complete response.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(closeAfterHead, func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(3, 0) })
	status, text, _, err := b.call("/stream/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(text, "data:"), 3) // the other upstream serves the request

	b = newTestbed(t, 1)
	b.configure("1")
	b.setBehaviours(closeAfterHead, closeAfterHead)
	status, _, _, err = b.call("/live/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // it may have run, and nothing was sent to the caller
}

// A stream broke off, and the attempt that should have resumed it got a signed 200 that is not an event
// stream: the caller received the events so far as a complete response.
func TestLaterEmptySuccessThatIsNoStreamDoesNotCompleteABrokenStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(breakAfterTwoEvents, respondWith(http.StatusOK, ""))
	_, text, _, err := b.call("/stream/x", "key-1", "")
	is.Equal(strings.Count(text, "data:"), 2)
	is.True(err != nil) // the caller must see that the response is not complete
}

// lineOfReaderSize is a line of an event that fills the buffer of the reader of events exactly, without
// its line feed.
var lineOfReaderSize = "data: " + strings.Repeat("x", 16<<10-len("data: "))

// A stream broke off inside an event, after a line that fills the reader's buffer: the event counted as
// sent, and the resumed stream was joined to its first part.
func TestCutAfterALineOfTheReadersSizeIsNotJoinedToTheResumedStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
			return func(rw http.ResponseWriter, _ *http.Request) {
				w.Sign(rw)
				rw.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(rw, "id: 1\n"+lineOfReaderSize+"\n")
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}
		},
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(2, 0) },
	)
	_, text, _, err := b.call("/stream/x", "key-1", "")
	is.NoErr(err)
	is.Equal(text, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n")
}

// A blank line followed the last event of a stream whose framing shows its end: the caller's connection
// was closed as if the stream had broken off.
func TestBlankLineAfterTheLastEventDoesNotBreakTheStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	w := b.workers[0]
	w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		w.Sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, "id: 1\ndata: a\n\n\n")
	})
	_, text, _, err := b.call("/live/x", "key-1", "")
	is.NoErr(err)
	is.Equal(strings.TrimSpace(text), "id: 1\ndata: a")
}

// rawResponse returns a signed response to the request; fields are further header lines.
func rawResponse(w *standin.Worker, rw http.ResponseWriter, status, fields, body string) string {
	w.Sign(rw)
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %s\r\n", status)
	_ = rw.Header().Write(&text)
	fmt.Fprintf(&text, "%s\r\n%s", fields, body)
	return text.String()
}

// writeRaw writes text to the connection of a request and closes it when closeAfter is set.
func writeRaw(rw http.ResponseWriter, text string, closeAfter bool) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	go func() {
		if _, err := io.WriteString(conn, text); err != nil || closeAfter {
			conn.Close()
		}
	}()
}

// unframedStream sends a stream with neither length nor chunks and ends it with its connection.
func unframedStream(events string) behaviour {
	return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, _ *http.Request) {
			writeRaw(rw, rawResponse(w, rw, "200 OK", "Content-Type: text/event-stream\r\nConnection: close\r\n", events), true)
		}
	}
}

// An unframed stream ended before its first event or inside it, and the reader of events took other bytes
// for the end of an event: the caller received it as a complete response.
func TestUnframedStreamWithoutAWholeEventIsNotComplete(t *testing.T) {
	for name, events := range map[string]string{
		"after a line of the reader's size": "id: 1\n" + lineOfReaderSize + "\n",
		"after a line of spaces":            "id: 1\n \n",
		"after a comment":                   ": ok\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 1)
			b.configure("1")
			b.setBehaviours(unframedStream(events), unframedStream(events))
			status, _, _, err := b.call("/live/x", "key-1", "")
			is.True(err != nil || status != http.StatusOK)
		})
	}
}

// The response to a HEAD request on a streaming route has no body, and neither length nor chunks: it was
// taken for a stream that broke off before its first event.
func TestResponseToHeadOnAStreamingRouteIsComplete(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	b.workers[0].SetHandler(b.workers[0].Stream(3, 0))
	req, err := http.NewRequest(http.MethodHead, b.server.URL+"/live/x", nil)
	is.NoErr(err)
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
}

// An event without an id was followed by a break, and the stream resumed after the last id: the caller
// received that event twice.
func TestStreamIsNotResumedBeforeAnEventWithoutID(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
			return func(rw http.ResponseWriter, _ *http.Request) {
				w.Sign(rw)
				rw.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(rw, "id: 1\ndata: token 1\n\ndata: token 2\n\n")
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}
		},
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(3, 0) },
	)
	_, text, _, _ := b.call("/stream/x", "key-1", "")
	is.Equal(strings.Count(text, "token 2"), 1)
}

// A stream broke off, and the body of the error that the next attempt got never came: the caller waited
// for it until the deadline, although no part of it is used.
func TestBodyOfAnUnusedErrorDoesNotHoldABrokenStream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(breakAfterTwoEvents, func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			w.Sign(rw)
			rw.Header().Set("Content-Length", "9")
			rw.WriteHeader(http.StatusInternalServerError)
			_ = http.NewResponseController(rw).Flush()
			<-r.Context().Done()
		}
	})
	start := time.Now()
	_, _, _, err := b.call("/stream/x", "key-1", "")
	is.True(err != nil)
	is.True(time.Since(start) < time.Second) // the route's timeout is 4 s
}

// The body of a refusal never came: the caller waited for it until the deadline, although another upstream
// could have served the request.
func TestBodyOfARefusalDoesNotHoldTheNextAttempt(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	refuseWithoutBody := func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "9")
			w.Shed(rw, r)
			_ = http.NewResponseController(rw).Flush()
			<-r.Context().Done()
		}
	}
	b.setBehaviours(refuseWithoutBody, func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(3, 0) })
	start := time.Now()
	_, text, _, err := b.call("/stream/x", "key-1", "")
	is.NoErr(err)
	is.Equal(strings.Count(text, "data:"), 3)
	is.True(time.Since(start) < time.Second) // the route's timeout is 4 s
}

// A stream to a caller that speaks HTTP/1.0 broke off: without chunks the caller cannot tell the close
// of its connection from the end of the response.
func TestBrokenStreamIsNotCompleteForCallersWithoutChunks(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	b.workers[0].SetHandler(b.workers[0].Stream(3, 2))
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /live/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	text, err := io.ReadAll(conn)
	statusLine, _, _ := strings.Cut(string(text), "\r\n")
	is.True(err != nil || !strings.Contains(statusLine, " 200 ")) // the caller must see that the response is not complete
}

// A stream broke off and the next worker answered with an error of some form: callers found the text of the error, or its
// whole head, in the midst of their stream, or the stream ended as if it were complete.
func TestErrorOfTheNextWorkerIsNoPartOfABrokenStream(t *testing.T) {
	const secret = "failed"
	respond := func(status int, signed bool, header ...string) behaviour {
		return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
			return func(rw http.ResponseWriter, _ *http.Request) {
				if signed {
					w.Sign(rw)
				}
				for i := 0; i < len(header); i += 2 {
					rw.Header().Set(header[i], header[i+1])
				}
				rw.WriteHeader(status)
				_, _ = io.WriteString(rw, secret)
			}
		}
	}
	raw := func(text func(w *standin.Worker, rw http.ResponseWriter) string) behaviour {
		return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
			return func(rw http.ResponseWriter, _ *http.Request) { writeRaw(rw, text(w, rw), true) }
		}
	}
	const eventStream = "text/event-stream"
	cases := map[string]behaviour{
		"refusal":                       func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Shed },
		"signed 503":                    respond(http.StatusServiceUnavailable, true),
		"429":                           respond(http.StatusTooManyRequests, true),
		"400":                           respond(http.StatusBadRequest, true),
		"302":                           respond(http.StatusFound, true, "Location", "/other"),
		"206":                           respond(http.StatusPartialContent, true, "Content-Type", eventStream),
		"200 without signature":         respond(http.StatusOK, false, "Content-Type", eventStream),
		"200 with text":                 respond(http.StatusOK, true, "Content-Type", "text/plain"),
		"200 with text as event stream": respond(http.StatusOK, true, "Content-Type", eventStream),
		"500 as event stream":           respond(http.StatusInternalServerError, true, "Content-Type", eventStream),
		"500 in an unframed stream": raw(func(w *standin.Worker, rw http.ResponseWriter) string {
			return rawResponse(w, rw, "200 OK", "Content-Type: text/event-stream\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n"+secret)
		}),
		"500 in an unframed stream, as lines": raw(func(w *standin.Worker, rw http.ResponseWriter) string {
			return rawResponse(w, rw, "200 OK", "Content-Type: text/event-stream\r\n", "HTTP/1.1 500 Internal Server Error\n\n"+secret+"\n\n")
		}),
		"500 in a stream with length": raw(func(w *standin.Worker, rw http.ResponseWriter) string {
			body := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n" + secret + "\n\n"
			return rawResponse(w, rw, "200 OK", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(body)), body)
		}),
	}
	for name, later := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 2)
			b.configure("1")
			b.setBehaviours(breakAfterTwoEvents, later)
			_, text, _, err := b.call("/stream/x", "key-1", "")
			is.Equal(strings.Count(text, "data:"), 2)
			is.True(!strings.Contains(text, secret))
			is.True(!strings.Contains(text, "HTTP/1.1"))
			is.True(err != nil) // the caller must see that the response is not complete
		})
	}
}
