package instancelist

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Kind is the kind of the platform objects that hold instances.
const Kind = "instance"

// Role is the role of an instance: what runs on it.
type Role string

// Roles of an instance.
const (
	Entry    Role = "entry"
	Upstream Role = "upstream"
)

// State is the state of an instance in the list.
type State string

// States of an instance. A leaving instance is about to be removed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one instance of the list.
type Instance struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  State  `json:"state"`
	// Address is the host:port that serves callers (role entry) or the host:port of the agent
	// (role upstream).
	Address string `json:"address"`
	// Control is the host:port that serves calls of other processes of the system.
	Control string `json:"control,omitempty"`
	// Models and Services name the models and services that an upstream is deployed for.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Revision is the platform revision of the instance; it rises with each change.
	Revision int64 `json:"-"`
}

// Table is a local copy of the instance list that follows the platform. It is safe for concurrent
// use.
type Table struct {
	onChange    func([]Instance)
	onLost      func(error)
	onRecovered func()

	mu   sync.Mutex
	byID map[string]Instance
	// revisions holds the revision of the object of each instance by ID.
	revisions map[string]int64
	// revision is the platform revision up to which all changes are applied.
	revision int64
	// isFollowing is cleared while the platform does not respond.
	isFollowing bool
}

// Options configures a Table. Nil functions are not called.
type Options struct {
	// OnChange receives all instances after each change, ordered by ID.
	OnChange func([]Instance)
	// OnLost is called when the platform stops responding, and OnRecovered when it responds again.
	OnLost      func(error)
	OnRecovered func()
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{onChange: o.OnChange, onLost: o.OnLost, onRecovered: o.OnRecovered, byID: map[string]Instance{}, revisions: map[string]int64{}}
}

// Run follows the list until ctx ends.
func (t *Table) Run(ctx context.Context, c *platform.Client) {
	c.Follow(ctx, Kind, t)
}

// All returns the instances ordered by ID.
func (t *Table) All() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Instance, 0, len(t.byID))
	for _, i := range t.byID {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Replace implements platform.Follower.
func (t *Table) Replace(items []platform.Object) {
	t.mu.Lock()
	t.replaceLocked(items)
	t.mu.Unlock()
	t.notifyChange()
}

// replaceLocked replaces all instances. Table.mu must be held.
func (t *Table) replaceLocked(items []platform.Object) {
	t.byID = make(map[string]Instance, len(items))
	t.revisions = make(map[string]int64, len(items))
	for _, o := range items {
		t.applyLocked(o)
	}
}

// Change implements platform.Follower.
func (t *Table) Change(o platform.Object) {
	t.mu.Lock()
	t.applyLocked(o)
	t.mu.Unlock()
	t.notifyChange()
}

// Lost implements platform.Follower.
func (t *Table) Lost(err error) {
	t.mu.Lock()
	t.isFollowing = false
	t.mu.Unlock()
	if t.onLost != nil {
		t.onLost(err)
	}
}

// Recovered implements platform.Follower.
func (t *Table) Recovered() {
	if t.onRecovered != nil {
		t.onRecovered()
	}
}

// applyLocked stores one instance, or removes it if its object is deleted or invalid. Table.mu
// must be held.
func (t *Table) applyLocked(o platform.Object) {
	var i Instance
	if o.Deleted || json.Unmarshal(o.Value, &i) != nil {
		delete(t.byID, o.Name)
		delete(t.revisions, o.Name)
		return
	}
	t.revisions[o.Name] = o.Revision
	i.ID = o.Name
	i.Revision = o.Revision
	t.byID[o.Name] = i
}

func (t *Table) notifyChange() {
	if t.onChange != nil {
		t.onChange(t.All())
	}
}
