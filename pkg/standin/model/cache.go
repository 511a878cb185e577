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
	// cacheBlocks is the number of prompt blocks that the engine holds.
	cacheBlocks = 512
	// cacheDelay is the time by which cache events are published late.
	cacheDelay = 200 * time.Millisecond
	// cacheLoss is the number of requests of which one publishes no events.
	cacheLoss = 10
)

// promptCache is the prefix cache of the engine. It is safe for concurrent use.
type promptCache struct {
	mu     sync.Mutex
	blocks []uint64
	log    prefix.Log
	runs   int
}

// prompt is the part of a request that is cached.
type prompt struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
}

// add stores the blocks of a request's prompt and publishes the events later.
func (p *promptCache) add(body []byte) {
	var r prompt
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
		if at := slices.Index(p.blocks, b); at >= 0 {
			p.blocks = slices.Delete(p.blocks, at, at+1)
		} else {
			stored = append(stored, b)
		}
		p.blocks = append(p.blocks, b)
	}
	if over := len(p.blocks) - cacheBlocks; over > 0 {
		removed = slices.Clone(p.blocks[:over])
		p.blocks = slices.Delete(p.blocks, 0, over)
	}
	p.runs++
	lost := p.runs%cacheLoss == 0
	time.AfterFunc(cacheDelay, func() { p.publish(stored, removed, lost) })
}

func (p *promptCache) publish(stored, removed []uint64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.log.AddGap()
		return
	}
	p.log.Add(stored, removed)
}

// clear empties the cache.
func (p *promptCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocks = nil
	p.log.Clear()
}

// events serves GET /cache-events?after=NUMBER.
func (p *promptCache) events(c *gin.Context) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, p.log.Since(after))
}
