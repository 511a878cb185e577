package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/caller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

func init() {
	commands["bad"] = sendBadInputs
}

// badInput is the raw text of an invalid request and the result code that the entry must return.
type badInput struct {
	name string
	text string
	want code.Code
}

const goodBody = `{"model":"intake-llm","messages":[{"role":"user","content":"x"}],"max_tokens":1}`

// requestHead returns the request line and headers of a model request with a body of the given
// length and additional header fields.
func requestHead(length int, fields ...string) string {
	all := append([]string{
		"POST /v1/chat/completions HTTP/1.1", "Host: entry",
		"Authorization: Bearer " + fleet.BearerToken("skolen"),
		fmt.Sprintf("Content-Length: %d", length),
	}, fields...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

func badInputs() []badInput {
	large := strings.Repeat("x", 5<<20)
	other := strings.Replace(goodBody, "intake-llm", "no-such-model", 1)
	return []badInput{
		{"body is not JSON", requestHead(5) + "{nope", code.MalformedRequest},
		{"no messages", requestHead(22) + `{"model":"intake-llm"}`, code.MalformedRequest},
		{"unknown model", requestHead(len(other)) + other, code.UnknownModel},
		{"unknown path", "GET /v1/nothing HTTP/1.1\r\nHost: entry\r\n\r\n", code.MalformedRequest},
		{"unknown service", "GET /services/none/x HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + fleet.BearerToken("skolen") + "\r\n\r\n", code.UnknownService},
		{"no token", "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}", code.Unauthorised},
		{"body over the limit", requestHead(len(large)) + large, code.BodyTooLarge},
		{"body shorter than its length", requestHead(len(goodBody)+10) + goodBody, code.MalformedRequest},
		{"another organisation", requestHead(len(goodBody), caller.HeaderOrganisation+": fjordbeet") + goodBody, code.OrganisationMismatch},
		{"timeout is no number", requestHead(len(goodBody), caller.HeaderTimeout+": soon") + goodBody, code.BadDeadline},
		{"request name too long", requestHead(len(goodBody), caller.HeaderRequestID+": "+strings.Repeat("r", 200)) + goodBody, code.MalformedRequest},
	}
}

// sendBadInputs: bad COUNT sends each bad input COUNT times to every entry and checks the
// responses. It also sends malformed HTTP and requests whose caller disconnects.
func sendBadInputs(ts *testscript.TestScript, _ bool, args []string) {
	for range parseNumber(ts, args[0]) {
		for _, address := range stateOf(ts).fleet.EntryAddresses {
			for _, b := range badInputs() {
				checkBadInput(ts, address, b)
			}
			disconnectBeforeResponse(ts, address)
			sendMalformed(ts, address)
		}
	}
}

func checkBadInput(ts *testscript.TestScript, address string, b badInput) {
	resp := exchangeRaw(ts, address, b.text)
	defer resp.Body.Close()
	want := fmt.Sprint(int(b.want))
	if got := resp.Header.Get(caller.HeaderResultCode); got != want || resp.StatusCode != b.want.Info().HTTPStatus {
		ts.Fatalf("%s: code %s status %d, want %s %d", b.name, got, resp.StatusCode, want, b.want.Info().HTTPStatus)
	}
}

const exchangeTimeout = 10 * time.Second

// exchangeRaw sends raw bytes, closes the sending side and reads one response.
func exchangeRaw(ts *testscript.TestScript, address, text string) *http.Response {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	ts.Defer(func() { c.Close() })
	ts.Check(c.SetDeadline(time.Now().Add(exchangeTimeout)))
	go func() {
		// Write errors are ignored: the entry may reject the request before it has read all of it.
		_, _ = c.Write([]byte(text))
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	ts.Check(err)
	return resp
}

// disconnectBeforeResponse sends a valid request and closes the connection without reading the
// response.
func disconnectBeforeResponse(ts *testscript.TestScript, address string) {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	_, err = c.Write([]byte(requestHead(len(goodBody)) + goodBody))
	ts.Check(err)
	ts.Check(c.Close())
}

// sendMalformed sends bytes that are not HTTP; the entry must respond with status 400.
func sendMalformed(ts *testscript.TestScript, address string) {
	resp := exchangeRaw(ts, address, "\x00\x01 nonsense\r\n\r\n")
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		ts.Fatalf("malformed HTTP: status %d", resp.StatusCode)
	}
}
