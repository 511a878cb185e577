package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// wholeBytes is the size up to which an answer is read completely before any of it is
	// passed on, so that one that breaks off can be had elsewhere.
	wholeBytes = 256 << 10
	// drainBytes bounds the body of a refusal that is read to keep its connection.
	drainBytes = 16 << 10
)

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(answer *exchange.Answer) {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, drainBytes))
	if err == nil && n < drainBytes {
		answer.Release()
	}
}

// passWhole passes on an answer that is not a stream of events.
func (c *call) passWhole(answer *exchange.Answer, v platform.Verdict, target Target, begun time.Time) (ending, Report) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		c.note(target, "attempt-failed", "answer broke off: "+err.Error(), begun)
		return failed, Failed
	}
	if len(body) == wholeBytes {
		return c.passLong(answer, v, body)
	}
	answer.Release()
	platform.CopyHead(c.w.Header(), answer.Response)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(v.Status)
	if _, err := c.w.Write(body); err != nil {
		c.finished(0, "caller-gone")
		return final, Neutral
	}
	c.delivered(v.Status)
	if v.Status >= http.StatusInternalServerError {
		return final, Failed
	}
	return final, Succeeded
}

// passLong passes on an answer that is too long to hold; body is its beginning.
func (c *call) passLong(answer *exchange.Answer, v platform.Verdict, body []byte) (ending, Report) {
	platform.CopyHead(c.w.Header(), answer.Response)
	if answer.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	c.w.WriteHeader(v.Status)
	c.began = true
	if _, err := c.w.Write(body); err != nil {
		c.finished(0, "caller-gone")
		return final, Neutral
	}
	if _, err := io.Copy(c.w, answer.Body); err != nil {
		c.breakOff("answer-broke-off")
	}
	answer.Release()
	c.delivered(v.Status)
	return final, Succeeded
}

// passStream passes on the events of a stream as they come.
func (c *call) passStream(answer *exchange.Answer, target Target, begun time.Time) (ending, Report) {
	events := sse.NewReader(answer.Body)
	control := http.NewResponseController(c.w)
	for first := true; ; first = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !c.began {
				c.begin(answer)
			}
			answer.Release()
			c.delivered(http.StatusOK)
			return final, Succeeded
		}
		if err != nil {
			c.note(target, "stream-broke-off", err.Error(), begun)
			return c.afterBreak(), Failed
		}
		if first && c.began && !follows(c.lastEvent, sse.ID(event)) {
			c.note(target, "stream-does-not-follow", sse.ID(event), begun)
			return failed, Failed
		}
		if !c.began {
			c.begin(answer)
			c.first = time.Since(c.start)
			c.g.permits.noteBegin(c.service, c.first-c.waited)
			c.g.observe("first_event", c.first)
		}
		if !c.send(control, event) {
			c.finished(0, "caller-gone")
			return final, Neutral
		}
		c.noteEvent(event, time.Now())
	}
}

// noteEvent takes in an event that the caller has now.
func (c *call) noteEvent(event []byte, now time.Time) {
	if id := sse.ID(event); id != "" {
		c.lastEvent = id
	}
	if !c.lastAt.IsZero() {
		c.gap = max(c.gap, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

// begin sends the head of a stream.
func (c *call) begin(answer *exchange.Answer) {
	platform.CopyHead(c.w.Header(), answer.Response)
	c.w.WriteHeader(http.StatusOK)
	c.began = true
}

func (c *call) send(control *http.ResponseController, event []byte) bool {
	if _, err := c.w.Write(event); err != nil {
		return false
	}
	return control.Flush() == nil
}

// afterBreak says how a stream that broke off goes on. One that may not be resumed ends
// here, and the caller sees that it is not whole.
func (c *call) afterBreak() ending {
	if !c.route.Resumable && c.began {
		c.breakOff("stream-broke-off")
	}
	return failed
}

// follows reports whether the event with id next comes right after the one with id last.
func follows(last, next string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	return errA == nil && errB == nil && b == a+1
}

// delivered notes a final answer of an upstream.
func (c *call) delivered(status int) {
	c.g.count("answers_" + strconv.Itoa(status))
	c.g.observe("answer", time.Since(c.start))
	c.finished(status, "answered")
}
