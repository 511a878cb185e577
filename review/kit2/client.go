package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a consumer with an id of its own.
type attempt struct {
	id, target, gateway string
	connectedAt, sentAt time.Time
	// writtenAt is when the last byte was written, zero if it was not.
	writtenAt, endedAt time.Time
	// status is that of the answer, 0 if the channel ended without a whole one.
	status  int
	signed  bool
	answer  string
	problem string
	kept    bool
}

var attemptCount atomic.Int64

// channel is a connection of a consumer to a gateway, which may carry several requests.
type channel struct {
	gateway string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func dial(gateway string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{gateway: gateway, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer. The channel is closed unless it can be used again.
func (c *channel) send(method, target string, body []byte, timeLimit time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("a%06d", attemptCount.Add(1)), target: target, gateway: c.gateway, kept: c.used, sentAt: time.Now()}
	c.used = true
	_ = c.conn.SetDeadline(a.sentAt.Add(timeLimit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, target, hostName, a.id, timeLimit.Milliseconds(), apiKey)
	if len(body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := c.conn.Write(append([]byte(head+"\r\n"), body...))
	if err == nil {
		a.writtenAt = time.Now()
		err = c.read(a, method)
	}
	a.endedAt = time.Now()
	if err != nil {
		a.status, a.problem = 0, describe(err)
		c.close()
	}
	return a
}

func (c *channel) read(a *attempt, method string) error {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.answer, a.signed = resp.StatusCode, string(text), resp.Header.Get("X-Response-Signature") != ""
	if resp.Close {
		c.close()
	}
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

func describe(err error) string {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return "time limit"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed without an answer"
	}
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// consumers send requests on kept channels until stop.
type consumers struct {
	mu       sync.Mutex
	attempts []*attempt
	stopping chan struct{}
	wg       sync.WaitGroup
}

func newConsumers() *consumers { return &consumers{stopping: make(chan struct{})} }

// add starts a consumer that sends the request of next to a gateway, with a pause after each answer.
func (c *consumers) add(gateway string, pause, timeLimit time.Duration, next func() (method, target string, body []byte)) {
	c.wg.Go(func() {
		var ch *channel
		for {
			select {
			case <-c.stopping:
				if ch != nil {
					ch.close()
				}
				return
			case <-time.After(pause):
			}
			if ch == nil || ch.conn == nil {
				var err error
				if ch, err = dial(gateway); err != nil {
					ch = nil
					continue
				}
			}
			method, target, body := next()
			a := ch.send(method, target, body, timeLimit)
			c.mu.Lock()
			c.attempts = append(c.attempts, a)
			c.mu.Unlock()
		}
	})
}

// stop ends all consumers and returns what they have sent.
func (c *consumers) stop() []*attempt {
	close(c.stopping)
	c.wg.Wait()
	return c.attempts
}

// summary counts attempts by their end.
func summary(attempts []*attempt) map[string]int {
	out := map[string]int{}
	for _, a := range attempts {
		if a.status == 0 {
			out[a.problem]++
		} else {
			out[fmt.Sprint(a.status)]++
		}
	}
	return out
}

// booking is the next request of a consumer on the unsafe route.
func booking(size int) func() (string, string, []byte) {
	body := bytes.Repeat([]byte("x"), size)
	return func() (string, string, []byte) { return http.MethodPost, "/puxa403/2f", body }
}

// recordAll writes one line for each request to record.txt: when it was sent, how it ended, and where it ran.
func recordAll(attempts []*attempt, workers []*worker) {
	ranAt := map[string]string{}
	for _, v := range workers {
		v.mu.Lock()
		for _, r := range v.runs {
			ranAt[r.id] += fmt.Sprintf(" %s at %.3f s as %s %s", v.id, r.at.Sub(startedAt).Seconds(), r.method, r.target)
		}
		v.mu.Unlock()
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintln(recordTo, "all requests: id, when it was sent, to which gateway, how it ended after which time; where it ran")
	for _, a := range attempts {
		end := fmt.Sprint(a.status)
		if a.status == 0 {
			end = a.problem
		}
		fmt.Fprintf(recordTo, "%s %.3f s %s %s %dms; ran:%s\n", a.id, a.sentAt.Sub(startedAt).Seconds(), a.gateway, end, a.endedAt.Sub(a.sentAt).Milliseconds(), ranAt[a.id])
	}
}
