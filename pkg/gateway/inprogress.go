package gateway

import "sync"

// inProgress counts the requests in progress by service, and bounds each. It is safe for concurrent use.
type inProgress struct {
	most int

	mu     sync.Mutex
	counts map[string]int
}

func newInProgress(most int) *inProgress { return &inProgress{most: most, counts: map[string]int{}} }

// begin counts a request to a service. It returns false if there are as many as there may be.
func (p *inProgress) begin(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[service] >= p.most {
		return false
	}
	p.counts[service]++
	return true
}

// end counts the end of a request for which begin returned true.
func (p *inProgress) end(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[service]--; p.counts[service] == 0 {
		delete(p.counts, service)
	}
}
