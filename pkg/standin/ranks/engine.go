package ranks

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/rankgroup"
)

// ComputedStep is the record of one step that the rank computed.
type ComputedStep struct {
	Step expertmap.StepID `json:"step"`
	// Ref names the expert map that the step used.
	Ref expertmap.Ref `json:"ref"`
	// Loaded is set when the weights of the map were loaded.
	Loaded bool `json:"held"`
}

// Options configure an engine.
type Options struct {
	// Layers is the number of layers of the model and Experts the number of experts of each.
	Layers  int
	Experts int
	// LoadDuration is the time that loading the weights of a map takes.
	LoadDuration time.Duration
	// DriftInterval is the time after which the popularity shifts by one expert.
	DriftInterval time.Duration
}

// Engine is a stand-in of the engine of a rank. It is safe for concurrent use.
type Engine struct {
	options Options

	mu     sync.Mutex
	loaded map[expertmap.Ref]bool
	steps  []ComputedStep
}

// New returns an engine without weights.
func New(o Options) *Engine { return &Engine{options: o, loaded: map[expertmap.Ref]bool{}} }

// Load implements rankgroup.Engine.
func (e *Engine) Load(ctx context.Context, m *expertmap.Map) error {
	t := time.NewTimer(e.options.LoadDuration)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded[m.Ref] = true
	return nil
}

// Drop implements rankgroup.Engine.
func (e *Engine) Drop(r expertmap.Ref) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.loaded, r)
}

// Compute implements rankgroup.Engine.
func (e *Engine) Compute(s expertmap.StepID, r expertmap.Ref) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps = append(e.steps, ComputedStep{Step: s, Ref: r, Loaded: e.loaded[r]})
}

// Loads implements rankgroup.Engine. The loads follow a Zipf distribution of exponent 0.8 over
// the experts in an order that rotates by one each DriftInterval.
func (e *Engine) Loads() rankgroup.ExpertLoads {
	shift := int(time.Now().UnixNano() / int64(e.options.DriftInterval))
	out := rankgroup.ExpertLoads{Layers: make([][]float64, e.options.Layers)}
	for l := range out.Layers {
		for x := range e.options.Experts {
			position := (x + shift + l) % e.options.Experts
			out.Layers[l] = append(out.Layers[l], math.Pow(float64(position+1), -0.8))
		}
	}
	return out
}

// Handler returns the HTTP handler that serves the computed steps.
func (e *Engine) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/steps", func(c *gin.Context) {
		e.mu.Lock()
		defer e.mu.Unlock()
		c.JSON(http.StatusOK, e.steps)
	})
	return g
}
