package model

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

const (
	// maxCachedBlocks is the capacity of the prefix cache in prompt blocks.
	maxCachedBlocks = 512
	// eventDelay is the delay between a change of the cache and the publication of its events.
	eventDelay = 200 * time.Millisecond
	// eventLossInterval is the number of requests after which the events of one request are
	// lost: one in ten publishes a gap instead.
	eventLossInterval = 10
)

// promptCache is the prefix cache of the engine with least-recently-used eviction. It is safe
// for concurrent use.
type promptCache struct {
	mu sync.Mutex
	// blocks are the hashes of the cached blocks, the least recently used first.
	blocks   []uint64
	eventLog prefix.Log
	requests int
}

// promptFields are the fields of a chat-completions request that form the cached prompt.
type promptFields struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
}

// addPrompt caches the blocks of a request's prompt, evicts the excess and publishes the events
// of both after eventDelay. A body that is not valid JSON is ignored.
func (p *promptCache) addPrompt(body []byte) {
	var r promptFields
	if json.Unmarshal(body, &r) != nil {
		return
	}
	text := []byte(r.Model)
	for _, m := range r.Messages {
		text = append(text, m...)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var stored, removed []uint64
	for _, b := range prefix.BlockHashes(nil, text) {
		if index := slices.Index(p.blocks, b); index >= 0 {
			p.blocks = slices.Delete(p.blocks, index, index+1)
		} else {
			stored = append(stored, b)
		}
		p.blocks = append(p.blocks, b)
	}
	if excess := len(p.blocks) - maxCachedBlocks; excess > 0 {
		removed = slices.Clone(p.blocks[:excess])
		p.blocks = slices.Delete(p.blocks, 0, excess)
	}
	p.requests++
	lost := p.requests%eventLossInterval == 0
	time.AfterFunc(eventDelay, func() { p.publishEvents(stored, removed, lost) })
}

// publishEvents appends the events to the log, or a gap when they are lost.
func (p *promptCache) publishEvents(stored, removed []uint64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.eventLog.AddGap()
		return
	}
	p.eventLog.Add(stored, removed)
}

// clear empties the cache and records in the log that it was lost.
func (p *promptCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks = nil
	p.eventLog.Clear()
}

// serveEvents serves GET /cache-events?after=NUMBER.
func (p *promptCache) serveEvents(c *gin.Context) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, p.eventLog.Since(after))
}
