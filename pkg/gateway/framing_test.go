package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// The tests of this file cut the responses of upstreams at each byte. What a caller reads without an
// error must be a complete answer. Anything else must end in an error while reading, or be a 5xx
// without any event.
//
// HTTP/1.1 cannot tell all cuts from an end. These count as complete:
//   - an unframed plain response that ends by FIN after its head, whatever part of its body arrived;
//   - an unframed stream that ends by FIN between two events, after at least one event of the same
//     attempt.
//
// A response whose connection was reset is complete only if it is framed and all of it arrived.

const (
	// longestAttemptID has the length of the longest request id of call in these tests.
	longestAttemptID = "attempt-123456"
	plainText        = "answer"
)

// eventsText returns the events with the ids from first to last as Worker.Stream sends them.
func eventsText(first, last int) []string {
	var events []string
	for id := first; id <= last; id++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id))
	}
	return events
}

func rawStream(first, last int) standin.RawResponse {
	return standin.RawResponse{Status: http.StatusOK, ContentType: "text/event-stream", Body: eventsText(first, last)}
}

var rawPlain = standin.RawResponse{Status: http.StatusOK, Body: []string{plainText}}

func sendRaw(response standin.RawResponse, cut standin.Cut) behaviour {
	return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.SendRaw(response, cut) }
}

func streamTwo(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(2, 0) }

// breakInEventTwo sends the first event of three and breaks off in the second.
var breakInEventTwo = sendRaw(standin.RawResponse{
	Status: http.StatusOK, ContentType: "text/event-stream", Framing: standin.FramedByChunks, Body: eventsText(1, 3),
}, standin.Cut{Missing: 45})

// breakBeforeEventOne sends the head of a stream only.
var breakBeforeEventOne = sendRaw(standin.RawResponse{
	Status: http.StatusOK, ContentType: "text/event-stream", Framing: standin.FramedByLength, Body: eventsText(1, 1),
}, standin.Cut{Missing: len(eventsText(1, 1)[0])})

// framingBed is a testbed whose retry budget does not run out, and whose calls end together with
// the connections of their attempts.
type framingBed struct {
	*testbed
	handlers sync.WaitGroup
	mu       sync.Mutex
	attempts int
}

func newFramingBed(t *testing.T) *framingBed {
	b := &framingBed{testbed: newTestbed(t, 2)}
	b.gateway.node.RetryLimits.Allowance = 1e6
	// Routes of these tests have more time, so that a busy machine does not cut a response.
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration,
		[]byte(strings.ReplaceAll(string(configuration("1")), `"timeout_ms":900`, `"timeout_ms":9000`)))
	b.waitUntil("the configuration and the workers", func() bool {
		upstreams, _ := b.gateway.fleet.UsableCapacity("plain")
		return b.gateway.Ready() && upstreams == len(b.workers)
	})
	return b
}

// tracked counts the attempts that a behaviour handles and when they end.
func (b *framingBed) tracked(respond behaviour) behaviour {
	return func(w *standin.Worker) func(http.ResponseWriter, *http.Request) {
		handle := respond(w)
		return func(rw http.ResponseWriter, r *http.Request) {
			b.handlers.Add(1)
			defer b.handlers.Done()
			b.mu.Lock()
			b.attempts++
			b.mu.Unlock()
			handle(rw, r)
		}
	}
}

// callAnswer is what a caller got, and after how many attempts.
type callAnswer struct {
	status   int
	text     string
	err      error
	attempts int
}

func (a callAnswer) String() string {
	return fmt.Sprintf("status %d, text %.60q, error %v, %d attempts", a.status, a.text, a.err, a.attempts)
}

// answer calls path while the upstream of the first attempt behaves as first and the other as second.
func (b *framingBed) answer(path string, first, second behaviour) callAnswer {
	b.mu.Lock()
	b.attempts = 0
	b.mu.Unlock()
	b.setBehaviours(b.tracked(first), b.tracked(second))
	status, text, _, err := b.call(path, "key-1", "")
	b.handlers.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return callAnswer{status, text, err, b.attempts}
}

// isVisibleFailure reports whether the caller can tell that the answer is not complete.
func (a callAnswer) isVisibleFailure() bool {
	return a.err != nil || a.status >= http.StatusInternalServerError && !strings.Contains(a.text, "id:")
}

// cutScenario is a call with one attempt whose response is cut.
type cutScenario struct {
	name, path string
	response   standin.RawResponse
	// earlier is the attempt before the cut one, nil if that is the first; earlierText is the part
	// of the answer that it delivers.
	earlier     behaviour
	earlierText string
	// next is the upstream of the attempt after the cut one, if any follows.
	next behaviour
	// repeats is set if a cut attempt is followed by another, and nextCompletes if that completes
	// the answer.
	repeats, nextCompletes bool
	// bodyOnly leaves out the cuts in the head. No byte of the answer has arrived then, so that
	// another scenario of the route covers them.
	bodyOnly bool
}

// completeText returns the whole answer.
func (s cutScenario) completeText() string { return s.earlierText + strings.Join(s.response.Body, "") }

// countedText returns the answer up to the cut, and whether the response up to there counts as
// complete.
func (s cutScenario) countedText(cut standin.Cut) (string, bool) {
	if !s.response.Framing.EndsWithConnection() {
		return s.completeText(), cut.Missing == 0
	}
	body := strings.Join(s.response.Body, "")
	if cut.Reset || cut.Missing > len(body) {
		return "", false
	}
	arrived := body[:len(body)-cut.Missing]
	isStream := s.response.ContentType == "text/event-stream"
	return s.earlierText + arrived, !isStream || strings.HasSuffix(arrived, "\n\n")
}

// run cuts the response of the scenario in all framings at each byte.
func (s cutScenario) run(t *testing.T) {
	t.Run(s.name, func(t *testing.T) {
		t.Parallel()
		b := newFramingBed(t)
		for _, framing := range standin.Framings() {
			for _, end := range []string{"FIN", "reset"} {
				t.Run(framing.String()+", "+end, func(t *testing.T) {
					s.response.Framing = framing
					s.cutEverywhere(t, b, end == "reset")
				})
			}
		}
	})
}

func (s cutScenario) cutEverywhere(t *testing.T, b *framingBed, reset bool) {
	head, body := s.response.Wire(longestAttemptID)
	var wrong []int
	var example callAnswer
	lastMissing := len(head) + len(body)
	if s.bodyOnly {
		lastMissing = len(body)
	}
	for missing := range lastMissing + 1 {
		cut := standin.Cut{Missing: missing, Reset: reset}
		first, second := sendRaw(s.response, cut), s.next
		if s.earlier != nil {
			first, second = s.earlier, first
		}
		got := b.answer(s.path, first, second)
		if missing == 0 && !reset && (got.err != nil || got.text != s.completeText()) {
			t.Errorf("the uncut answer was not delivered: %v", got)
		}
		text, counts := s.countedText(cut)
		isComplete := counts && got.text == text || s.nextCompletes && got.text == s.completeText()
		if got.isVisibleFailure() || got.status == http.StatusOK && isComplete {
			s.checkAttempts(t, got, !counts)
			continue
		}
		if len(wrong) == 0 {
			example = got
		}
		wrong = append(wrong, missing)
	}
	if len(wrong) > 0 {
		t.Errorf("looks complete with %s bytes missing (the body has %d); the first: %v", ranges(wrong), len(body), example)
	}
}

// checkAttempts checks that the attempt after an earlier or a cut one was made, without which a case
// would test nothing, and that none was made where a request may run only once.
func (s cutScenario) checkAttempts(t *testing.T, got callAnswer, isCut bool) {
	switch {
	case s.earlier != nil || s.repeats && isCut:
		if got.attempts != 2 {
			t.Errorf("%d attempts, expected 2: %v", got.attempts, got)
		}
	case !s.repeats && got.attempts != 1:
		t.Errorf("%d attempts, expected 1: %v", got.attempts, got)
	}
}

// ranges returns ascending numbers as text, such as "1-3, 7".
func ranges(numbers []int) string {
	var parts []string
	for i := 0; i < len(numbers); {
		j := i
		for j+1 < len(numbers) && numbers[j+1] == numbers[j]+1 {
			j++
		}
		part := strconv.Itoa(numbers[i])
		if j > i {
			part += "-" + strconv.Itoa(numbers[j])
		}
		parts = append(parts, part)
		i = j + 1
	}
	return strings.Join(parts, ", ")
}

// ORDER: the first response of a resumable stream is cut, and the stream ends as if complete.
func TestResumableStreamCutAtFirstAttemptDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	cutScenario{
		name: "the next upstream resumes", path: "/stream/x", response: rawStream(1, 2),
		next: streamTwo, repeats: true, nextCompletes: true, bodyOnly: true,
	}.run(t)
	cutScenario{
		name: "the next upstream fails", path: "/stream/x", response: rawStream(1, 2),
		next: lose, repeats: true,
	}.run(t)
}

// ORDER: a stream broke off in an event, the response that resumes it is cut too, and the stream ends
// as if complete.
func TestResumableStreamCutAtLaterAttemptDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	cutScenario{
		name: "after a broken event", path: "/stream/x", response: rawStream(2, 3),
		earlier: breakInEventTwo, earlierText: eventsText(1, 1)[0],
	}.run(t)
}

// ORDER: the response of a stream that cannot be resumed is cut, and the stream ends as if complete or
// goes on with the events of another run.
func TestNonResumableStreamCutDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	cutScenario{name: "first attempt", path: "/live/x", response: rawStream(1, 2), next: streamTwo}.run(t)
	cutScenario{name: "after a refusal", path: "/live/x", response: rawStream(1, 2), earlier: shed, bodyOnly: true}.run(t)
}

// MIXED: a plain response is cut, and the part that arrived is delivered as if complete.
func TestPlainResponseCutDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	cutScenario{
		name: "the next upstream succeeds", path: "/safe/x", response: rawPlain,
		next: sendRaw(rawPlain, standin.Cut{}), repeats: true, nextCompletes: true, bodyOnly: true,
	}.run(t)
	cutScenario{name: "the next upstream fails", path: "/safe/x", response: rawPlain, next: lose, repeats: true}.run(t)
	cutScenario{name: "after a lost connection", path: "/safe/x", response: rawPlain, earlier: lose, bodyOnly: true}.run(t)
}

// ORDER: a stream broke off, and a response that is no stream ends it as if complete.
func TestLaterResponseWithoutStreamDoesNotCompleteStream(t *testing.T) {
	t.Parallel()
	responses := map[string]standin.RawResponse{
		"500":          {Status: http.StatusInternalServerError},
		"504":          {Status: http.StatusGatewayTimeout},
		"404":          {Status: http.StatusNotFound},
		"200 plain":    {Status: http.StatusOK, ContentType: "text/plain"},
		"200 unsigned": {Status: http.StatusOK, ContentType: "text/plain", Unsigned: true},
		"503 not run":  {Status: http.StatusServiceUnavailable, Unsigned: true, NotRun: true},
		"421":          {Status: http.StatusMisdirectedRequest, Unsigned: true},
		"204":          {Status: http.StatusNoContent},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFramingBed(t)
			for _, framing := range standin.Framings() {
				for _, text := range []string{"", plainText, plainText + "\n\n", strings.Repeat("x", maxBufferedBytes)} {
					response.Framing, response.Body = framing, []string{text}
					if text == "" {
						response.Body = nil
					}
					if text != "" && response.Status == http.StatusNoContent || len(text) == maxBufferedBytes && framing.EndsWithConnection() {
						continue
					}
					t.Run(fmt.Sprintf("%v, %d bytes", framing, len(text)), func(t *testing.T) { checkLaterResponse(t, b, response) })
				}
			}
		})
	}
}

// checkLaterResponse calls while the attempt after a broken stream gets the response. Before the
// first event, a signed response may be delivered as it is.
func checkLaterResponse(t *testing.T, b *framingBed, response standin.RawResponse) {
	for _, reset := range []bool{false, true} {
		later := sendRaw(response, standin.Cut{Reset: reset})
		if got := b.answer("/stream/x", breakInEventTwo, later); got.err == nil || got.attempts != 2 {
			t.Errorf("after an event, reset %v: %v", reset, got)
		}
		got := b.answer("/stream/x", breakBeforeEventOne, later)
		isUpstreams := !response.Unsigned && got.status == response.Status && got.text == strings.Join(response.Body, "")
		isCut := reset && response.Framing.EndsWithConnection() && response.Status != http.StatusNoContent
		if !got.isVisibleFailure() && (!isUpstreams || isCut) || got.attempts != 2 {
			t.Errorf("before any event, reset %v: %v", reset, got)
		}
	}
}

// MIXED: a response that is too long to buffer is cut, and what arrived is delivered as if complete.
func TestLongResponseCutDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	b := newFramingBed(t)
	const tail = 20
	// The cuts are at the end, at the end of the last chunk, and where the buffer is just full.
	missingBytes := []int{0, 1, 5, tail, tail + 1, 31, 33}
	part := strings.Repeat("x", maxBufferedBytes/4)
	response := standin.RawResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []string{part, part, part, part, strings.Repeat("y", tail)}}
	for _, framing := range standin.Framings() {
		response.Framing = framing
		s := cutScenario{response: response}
		for _, missing := range missingBytes {
			for _, reset := range []bool{false, true} {
				cut := standin.Cut{Missing: missing, Reset: reset}
				got := b.answer("/safe/x", sendRaw(response, cut), lose)
				text, counts := s.countedText(cut)
				if !got.isVisibleFailure() && !(counts && got.text == text) {
					t.Errorf("%v, %d bytes missing, reset %v: status %d, %d bytes", framing, missing, reset, got.status, len(got.text))
				}
				if missing == 0 && !reset && got.text != s.completeText() {
					t.Errorf("%v: the uncut answer was not delivered: status %d, error %v", framing, got.status, got.err)
				}
			}
		}
	}
}

// ORDER: a stream broke off, and the next upstream ignores how far the caller is, so that events come
// twice or are missing.
func TestLaterStreamThatDoesNotFollowIsNotJoined(t *testing.T) {
	t.Parallel()
	b := newFramingBed(t)
	for _, first := range []int{1, 3} {
		for _, framing := range standin.Framings() {
			response := rawStream(first, 3)
			response.Framing = framing
			if got := b.answer("/stream/x", breakInEventTwo, sendRaw(response, standin.Cut{})); got.err == nil || got.attempts != 2 {
				t.Errorf("%v, from event %d: %v", framing, first, got)
			}
		}
	}
}
