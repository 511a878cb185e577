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
	commands["bad"] = bad
}

// badInput is what a caller sends and the code that must come back.
type badInput struct {
	name string
	text string
	want code.Code
}

const goodBody = `{"model":"intake-llm","messages":[{"role":"user","content":"x"}],"max_tokens":1}`

// head returns the head of a model request with a body of the length.
func head(length int, fields ...string) string {
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
		{"body is not JSON", head(5) + "{nope", code.MalformedRequest},
		{"no messages", head(22) + `{"model":"intake-llm"}`, code.MalformedRequest},
		{"unknown model", head(len(other)) + other, code.UnknownModel},
		{"unknown path", "GET /v1/nothing HTTP/1.1\r\nHost: entry\r\n\r\n", code.MalformedRequest},
		{"unknown service", "GET /services/none/x HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + fleet.BearerToken("skolen") + "\r\n\r\n", code.UnknownService},
		{"no token", "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}", code.Unauthorised},
		{"body over the limit", head(len(large)) + large, code.BodyTooLarge},
		{"body shorter than its length", head(len(goodBody)+10) + goodBody, code.MalformedRequest},
		{"another organisation", head(len(goodBody), caller.HeaderOrganisation+": fjordbeet") + goodBody, code.OrganisationMismatch},
		{"timeout is no number", head(len(goodBody), caller.HeaderTimeout+": soon") + goodBody, code.BadDeadline},
		{"request name too long", head(len(goodBody), caller.HeaderRequestID+": "+strings.Repeat("r", 200)) + goodBody, code.MalformedRequest},
	}
}

// bad: bad COUNT sends each bad input COUNT times to every entry and checks the answers.
// Malformed HTTP and callers that go away are sent as well.
func bad(ts *testscript.TestScript, _ bool, args []string) {
	for range number(ts, args[0]) {
		for _, address := range worldOf(ts).fleet.EntryAddresses {
			for _, b := range badInputs() {
				checkBad(ts, address, b)
			}
			goAway(ts, address)
			malformed(ts, address)
		}
	}
}

func checkBad(ts *testscript.TestScript, address string, b badInput) {
	resp := exchange(ts, address, b.text)
	defer resp.Body.Close()
	want := fmt.Sprint(int(b.want))
	if got := resp.Header.Get(caller.HeaderResultCode); got != want || resp.StatusCode != b.want.Info().HTTPStatus {
		ts.Fatalf("%s: code %s status %d, want %s %d", b.name, got, resp.StatusCode, want, b.want.Info().HTTPStatus)
	}
}

const exchangeLimit = 10 * time.Second

// exchange sends raw bytes, closes the sending side and reads one answer.
func exchange(ts *testscript.TestScript, address, text string) *http.Response {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	ts.Defer(func() { c.Close() })
	ts.Check(c.SetDeadline(time.Now().Add(exchangeLimit)))
	go func() {
		// The entry may refuse before it has read everything.
		_, _ = c.Write([]byte(text))
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	ts.Check(err)
	return resp
}

// goAway sends a good request and closes the connection before its answer.
func goAway(ts *testscript.TestScript, address string) {
	c, err := net.Dial("tcp", address)
	ts.Check(err)
	_, err = c.Write([]byte(head(len(goodBody)) + goodBody))
	ts.Check(err)
	ts.Check(c.Close())
}

// malformed sends what is not HTTP; the entry must answer with status 400.
func malformed(ts *testscript.TestScript, address string) {
	resp := exchange(ts, address, "\x00\x01 nonsense\r\n\r\n")
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		ts.Fatalf("malformed HTTP: status %d", resp.StatusCode)
	}
}
