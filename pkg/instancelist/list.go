package instancelist

import (
	"context"
	"encoding/json"
	"sort"
	"sync"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Kind is the object kind of an instance.
const Kind = "instance"

// Role states what runs on an instance.
type Role string

// Roles of an instance.
const (
	Entry    Role = "entry"
	Upstream Role = "upstream"
)

// State states whether an instance stays.
type State string

// States of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one machine of the list.
type Instance struct {
	ID     string `json:"id"`
	Role   Role   `json:"role"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  State  `json:"state"`
	// Address is the host:port for callers (role entry) or of the agent (role upstream).
	Address string `json:"address"`
	// Control is the host:port of the process for other processes of the system.
	Control string `json:"control,omitempty"`
	// Models and Services name what an upstream is deployed for.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Revision is the revision of the list entry; it rises with each change.
	Revision int64 `json:"-"`
}

// Table is a copy of the list that follows the platform. It is safe for concurrent use.
type Table struct {
	onChange func([]Instance)
	onLost   func(error)
	onBack   func()

	mu        sync.Mutex
	byID      map[string]Instance
	revisions map[string]int64
	// revision is that of the platform up to which changes are known.
	revision int64
	// following is cleared while the platform does not answer.
	following bool
}

// Options configure a table. Nil functions are not called.
type Options struct {
	// OnChange receives all instances after each change, ordered by ID.
	OnChange func([]Instance)
	// OnLost and OnRecovered are told when the platform stops and resumes answering.
	OnLost      func(error)
	OnRecovered func()
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{onChange: o.OnChange, onLost: o.OnLost, onBack: o.OnRecovered, byID: map[string]Instance{}, revisions: map[string]int64{}}
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
	t.replace(items)
	t.mu.Unlock()
	t.changed()
}

// replace replaces all instances. Table.mu is held.
func (t *Table) replace(items []platform.Object) {
	t.byID = make(map[string]Instance, len(items))
	t.revisions = make(map[string]int64, len(items))
	for _, o := range items {
		t.put(o)
	}
}

// Change implements platform.Follower.
func (t *Table) Change(o platform.Object) {
	t.mu.Lock()
	t.put(o)
	t.mu.Unlock()
	t.changed()
}

// Lost implements platform.Follower.
func (t *Table) Lost(err error) {
	t.mu.Lock()
	t.following = false
	t.mu.Unlock()
	if t.onLost != nil {
		t.onLost(err)
	}
}

// Recovered implements platform.Follower.
func (t *Table) Recovered() {
	if t.onBack != nil {
		t.onBack()
	}
}

func (t *Table) put(o platform.Object) {
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

func (t *Table) changed() {
	if t.onChange != nil {
		t.onChange(t.All())
	}
}
