package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before any of it is
	// sent, so that after a broken connection the request can run on another upstream.
	maxBufferedBytes = 256 << 10
	// maxDrainBytes and maxDrainTime limit the body of an unused response that is read in order to reuse
	// its connection. A short body arrives with its head.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// drain reads the rest of a short response, so that its connection can be reused. It closes the
// connection if the rest does not arrive at once, and returns the error of a response that broke off.
func drain(response *exchange.Response) error {
	timer := time.AfterFunc(maxDrainTime, response.Close)
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	if err == nil && n < maxDrainBytes {
		response.Release()
	}
	return err
}

// discard drains a response that the gateway does not use, and looks for the end of its upstream if it broke off.
func (c *call) discard(response *exchange.Response, target Target) {
	if err := drain(response); err != nil {
		c.recordBreak(target, err)
	}
}

// forwardBuffered sends the caller a response that is not an event stream.
func (c *call) forwardBuffered(response *exchange.Response, outcome platform.Outcome, target Target, startedAt time.Time) (attemptOutcome, AttemptResult) {
	expected := response.ContentLength
	if expected >= maxBufferedBytes {
		expected = unknownLength
	}
	body, err := c.readAll(io.LimitReader(response.Body, maxBufferedBytes), expected)
	if errors.Is(err, errNoRoom) {
		return c.forwardLong(response, outcome, target, body)
	}
	if err != nil {
		c.logAttempt(target, "attempt-failed", "response body ended early: "+err.Error(), startedAt)
		c.recordBreak(target, err)
		return failed, ResultFailed
	}
	if len(body) == maxBufferedBytes {
		return c.forwardLong(response, outcome, target, body)
	}
	c.recordEnd(response, target)
	response.Release()
	c.sendHead(response, len(body))
	if _, err := c.writer.Write(body); err != nil {
		c.logEnd(0, "caller-gone")
		return final, ResultNeutral
	}
	c.recordDelivered(outcome.Status)
	if outcome.Status >= http.StatusInternalServerError {
		return final, ResultFailed
	}
	return final, ResultSucceeded
}

// forwardLong sends the caller a response that is too long to buffer; body is its beginning.
func (c *call) forwardLong(response *exchange.Response, outcome platform.Outcome, target Target, body []byte) (attemptOutcome, AttemptResult) {
	c.sendHead(response, int(response.ContentLength))
	if _, err := c.writer.Write(body); err != nil {
		c.logEnd(0, "caller-gone")
		return final, ResultNeutral
	}
	if _, err := io.Copy(c.writer, response.Body); err != nil {
		c.recordBreak(target, err)
		c.abort("answer-broke-off")
	}
	c.recordEnd(response, target)
	response.Release()
	c.recordDelivered(outcome.Status)
	return final, ResultSucceeded
}

// forwardStream sends the events of a stream to the caller as they arrive.
func (c *call) forwardStream(response *exchange.Response, target Target, startedAt time.Time) (attemptOutcome, AttemptResult) {
	events := sse.NewReader(response.Body)
	control := http.NewResponseController(c.writer)
	for first := true; ; first = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && c.isStreamComplete(response) {
			if !c.headSent {
				c.sendHead(response, unknownLength)
			}
			c.recordEnd(response, target)
			response.Release()
			c.recordDelivered(http.StatusOK)
			return final, ResultSucceeded
		}
		if err != nil {
			c.logAttempt(target, "stream-broke-off", err.Error(), startedAt)
			c.recordBreak(target, err)
			return c.handleBrokenStream(), ResultFailed
		}
		if first && c.headSent && !isNextEvent(c.lastEventID, sse.ID(event)) {
			c.logAttempt(target, "stream-does-not-follow", sse.ID(event), startedAt)
			return failed, ResultFailed
		}
		if !c.headSent {
			c.sendHead(response, unknownLength)
			c.trial.end(true)
			c.gateway.resumeService(c.service)
			c.timeToFirstEvent = time.Since(c.startedAt)
			c.gateway.permits.recordFirstEventDelay(c.service, c.timeToFirstEvent-c.permitWait)
			c.gateway.observe("first_event", c.timeToFirstEvent)
		}
		if !c.sendEvent(control, event) {
			c.logEnd(0, "caller-gone")
			return final, ResultNeutral
		}
		now := time.Now()
		c.recordEvent(event, now)
		c.gateway.fleet.RecordEvent(c.service, target.ID, c.route.TargetEventGap, now)
		c.gateway.reportSilence(now)
	}
}

// isEventStream reports whether a response declares its body as a stream of events.
func isEventStream(response *exchange.Response) bool {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return mediaType == "text/event-stream"
}

// isStreamComplete reports whether a stream that ended between two events is complete. One that ends
// with its connection shows its end only by its events: before the first one, it has been broken off.
func (c *call) isStreamComplete(response *exchange.Response) bool {
	return response.Framing() != exchange.FramedByClose || c.attemptEvents > 0
}

// recordEvent updates the event id and timing of the call after an event was sent to the caller.
func (c *call) recordEvent(event []byte, now time.Time) {
	id, hasData := sse.ID(event), sse.HasData(event)
	if id != "" || hasData {
		// After an event without an id, an older one would repeat that event.
		c.lastEventID = id
	}
	if hasData {
		c.events++
		c.attemptEvents++
		if c.attemptEvents == 1 {
			c.recordAnswer(crashcause.Begun)
		}
	}
	if !c.lastEventAt.IsZero() {
		c.longestEventGap = max(c.longestEventGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// sendHead sends the caller the status and headers of a response; length is that of its body in bytes,
// or unknownLength. A call has one response: a second head ends the caller's connection.
func (c *call) sendHead(response *exchange.Response, length int) {
	if c.headSent {
		c.abort("second-response")
	}
	platform.CopyHeaders(c.writer.Header(), response.Response)
	if length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.Itoa(length))
	}
	c.writer.WriteHeader(response.StatusCode)
	c.headSent = true
	c.liftAttemptLimit()
}

func (c *call) sendEvent(control *http.ResponseController, event []byte) bool {
	if _, err := c.writer.Write(event); err != nil {
		return false
	}
	return control.Flush() == nil
}

// handleBrokenStream returns the outcome for a stream that broke off. If events were sent and the
// stream cannot be resumed after the last of them, it aborts the caller's connection, so that the
// response is visibly incomplete.
func (c *call) handleBrokenStream() attemptOutcome {
	if c.headSent && (!c.route.Resumable || c.lastEventID == "") {
		c.abort("stream-broke-off")
	}
	return failed
}

// isNextEvent reports whether nextID directly follows lastID; both must be integers.
func isNextEvent(lastID, nextID string) bool {
	a, errA := strconv.ParseInt(lastID, 10, 64)
	b, errB := strconv.ParseInt(nextID, 10, 64)
	return errA == nil && errB == nil && b == a+1
}

// recordDelivered marks the response to the caller as complete, counts and logs it.
func (c *call) recordDelivered(status int) {
	c.completed = true
	if status < http.StatusMultipleChoices {
		c.gateway.resumeService(c.service)
	}
	c.gateway.count("answers_" + strconv.Itoa(status))
	c.gateway.observe("answer", time.Since(c.startedAt))
	c.logEnd(status, "answered")
}
