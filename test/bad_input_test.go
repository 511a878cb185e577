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

// badInput is what a caller sends and the code that must come back.
type badInput struct {
	name string
	text string
	want code.Code
}

const goodBody = `{"model":"intake-llm","messages":[{"role":"user","content":"x"}],"max_tokens":1}`

// requestHead returns the requestHead of a model request with a body of the length.
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

// sendBadInputs: sendBadInputs COUNT sends each sendBadInputs input COUNT times to every entry and checks the answers.
// Malformed HTTP and callers that go away are sent as well.
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

// exchangeRaw sends raw bytes, closes the sending side and reads one answer.
func exchangeRaw(ts *testscript.TestScript, address, text string) *http.Response {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	ts.Defer(func() { c.Close() })
	ts.Check(c.SetDeadline(time.Now().Add(exchangeTimeout)))
	go func() {
		// The entry may refuse before it has read everything.
		_, _ = c.Write([]byte(text))
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	ts.Check(err)
	return resp
}

// disconnectBeforeResponse sends a good request and closes the connection before its answer.
func disconnectBeforeResponse(ts *testscript.TestScript, address string) {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	_, err = c.Write([]byte(requestHead(len(goodBody)) + goodBody))
	ts.Check(err)
	ts.Check(c.Close())
}

// sendMalformed sends what is not HTTP; the entry must answer with status 400.
func sendMalformed(ts *testscript.TestScript, address string) {
	resp := exchangeRaw(ts, address, "\x00\x01 nonsense\r\n\r\n")
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		ts.Fatalf("malformed HTTP: status %d", resp.StatusCode)
	}
}
