package rankgroup

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Engine is the engine of one rank.
type Engine interface {
	// Load loads the weights of a map and returns when they are loaded.
	Load(ctx context.Context, m *expertmap.Map) error
	// Drop frees the weights that only this map needs.
	Drop(r expertmap.Ref)
	// Compute is called when the rank computes a step. It must not block.
	Compute(s expertmap.StepID, r expertmap.Ref)
	// Loads returns the loads of the experts in the latest interval.
	Loads() ExpertLoads
}

// Options configures a member.
type Options struct {
	// Group is the name of the rank group.
	Group string
	// RankIndex is the index of this rank in the group.
	RankIndex int
	// Incarnation identifies the incarnation of the rank's process.
	Incarnation uint64
	// Peers are the clients of all ranks by rank index, including this one.
	Peers    []*peer.Client
	Platform *platform.Client
	Engine   Engine
	// StepDuration is the duration of a step; the response to a computed step is
	// delayed by it.
	StepDuration time.Duration
	// TickInterval is the interval at which messages without a response are repeated.
	TickInterval time.Duration
}

// sendQueueSize is the maximum number of messages queued for one rank.
const sendQueueSize = 64

// stepCallTimeout is the timeout of a message between ranks, including the response.
const stepCallTimeout = time.Second

// Member is one rank of a group. It is safe for concurrent use.
type Member struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	queues     []chan expertmap.Message

	mu   sync.Mutex
	node *expertmap.Node
	// loadingMaps are the maps whose weights are being loaded.
	loadingMaps   map[expertmap.Ref]bool
	readingRecord bool
}

// New returns a member. It sends no messages before Start.
func New(o Options) *Member {
	m := &Member{options: o, loadingMaps: map[expertmap.Ref]bool{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.node = expertmap.NewNode(o.RankIndex, o.Incarnation, (*memberAdapter)(m), (*memberAdapter)(m))
	for range o.Peers {
		m.queues = append(m.queues, make(chan expertmap.Message, sendQueueSize))
	}
	return m
}

// Start starts the goroutines that send and repeat messages.
func (m *Member) Start() {
	for i := range m.queues {
		m.background.Go(func() { m.sendLoop(i) })
	}
	m.background.Go(m.tickLoop)
}

// Stop cancels all calls and waits for the goroutines to end.
func (m *Member) Stop() {
	m.cancel()
	m.background.Wait()
}

// Handle registers the methods of the protocol with the server.
func (m *Member) Handle(s *peer.Server) {
	peer.Handle(s, MethodOrder, m.handleOrder)
	peer.Handle(s, MethodStep, m.handleStep)
	peer.Handle(s, MethodLoads, m.handleLoads)
}

func (m *Member) handleOrder(_ context.Context, _ *jsonrpc2.Conn, o Order) (expertmap.RankReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, out := m.node.HandleOrder(o.message())
	m.enqueue(out)
	return r, nil
}

func (m *Member) handleStep(ctx context.Context, _ *jsonrpc2.Conn, s StepMessage) (StepResult, error) {
	m.mu.Lock()
	a, out := m.node.HandleMessage(s.message())
	m.enqueue(out)
	m.mu.Unlock()
	if a != nil && a.Kind == expertmap.ResponseComputed {
		sleep(ctx, m.options.StepDuration)
	}
	return StepResult{Response: a}, nil
}

func (m *Member) handleLoads(context.Context, *jsonrpc2.Conn, LoadsRequest) (ExpertLoads, error) {
	return m.options.Engine.Loads(), nil
}

// enqueue queues messages to ranks. The caller must hold m.mu.
func (m *Member) enqueue(out []expertmap.Envelope) {
	for _, e := range out {
		select {
		case m.queues[e.To] <- e.Message:
		default:
			// The queue is full; the protocol repeats the message at a later tick.
		}
	}
}

// sendLoop sends the queued messages to one rank, one after another.
func (m *Member) sendLoop(to int) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case msg := <-m.queues[to]:
			m.sendMessage(to, msg)
		}
	}
}

// sendMessage sends one message to a rank and handles the response. Errors are ignored, because
// the protocol repeats messages.
func (m *Member) sendMessage(to int, msg expertmap.Message) {
	ctx, cancel := context.WithTimeout(m.ctx, stepCallTimeout)
	defer cancel()
	r, err := peer.Call[StepResult](ctx, m.options.Peers[to], MethodStep, newStep(msg))
	if err != nil || r.Response == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, out := m.node.HandleMessage(*r.Response)
	m.enqueue(out)
}

// tickLoop ticks the node until the member stops.
func (m *Member) tickLoop() {
	t := time.NewTicker(m.options.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
			m.mu.Lock()
			m.enqueue(m.node.Tick())
			m.mu.Unlock()
		}
	}
}

// memberAdapter implements the interfaces that the state machines call. All methods are called
// with Member.mu held.
type memberAdapter Member

// Load implements expertmap.Engine.
func (p *memberAdapter) Load(e *expertmap.Map) {
	m := (*Member)(p)
	if m.loadingMaps[e.Ref] || !e.IsIntact() {
		return
	}
	m.loadingMaps[e.Ref] = true
	m.background.Go(func() { m.loadMap(e) })
}

// Drop implements expertmap.Engine.
func (p *memberAdapter) Drop(r expertmap.Ref) { p.options.Engine.Drop(r) }

// Compute implements expertmap.Engine.
func (p *memberAdapter) Compute(s expertmap.StepID, r expertmap.Ref) { p.options.Engine.Compute(s, r) }

// RequestRecord implements expertmap.RecordReader.
func (p *memberAdapter) RequestRecord() {
	m := (*Member)(p)
	if m.readingRecord {
		return
	}
	m.readingRecord = true
	m.background.Go(m.readRecord)
}

// loadMap loads the weights of a map and reports the result to the node.
func (m *Member) loadMap(e *expertmap.Map) {
	err := m.options.Engine.Load(m.ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loadingMaps, e.Ref)
	if err == nil {
		m.node.Rank.HandleLoaded(e)
	}
}

// readRecord reads the record of the group and passes it to the node. A record that does not
// exist counts as empty.
func (m *Member) readRecord() {
	o, err := m.options.Platform.Get(m.ctx, RecordKind, m.options.Group)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readingRecord = false
	var r expertmap.Record
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	m.enqueue(m.node.HandleRecord(r))
}

// sleep returns after d or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
