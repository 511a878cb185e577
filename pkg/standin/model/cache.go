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
	// maxCachedBlocks is the number of prompt blocks that the engine holds.
	maxCachedBlocks = 512
	// eventDelay is the time by which cache events are published late.
	eventDelay = 200 * time.Millisecond
	// eventLossInterval is the number of requests of which one publishes no events.
	eventLossInterval = 10
)

// promptCache is the prefix cache of the engine. It is safe for concurrent use.
type promptCache struct {
	mu       sync.Mutex
	blocks   []uint64
	eventLog prefix.Log
	requests int
}

// promptFields is the part of a request that is cached.
type promptFields struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
}

// addPrompt stores the blocks of a request's prompt and publishes the events later.
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

func (p *promptCache) publishEvents(stored, removed []uint64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.eventLog.AddGap()
		return
	}
	p.eventLog.Add(stored, removed)
}

// clear empties the cache.
func (p *promptCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks = nil
	p.eventLog.Clear()
}

// serveEvents serves GET /cache-serveEvents?after=NUMBER.
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
