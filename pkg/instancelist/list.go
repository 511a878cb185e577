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
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// State is the state of an instance in the list.
type State string

// States of an instance. A leaving instance is about to be removed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
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
	// ControlAddress is the host:port that serves calls of other processes of the system.
	ControlAddress string `json:"control,omitempty"`
	// Models and Services name the models and services that an upstream is deployed for.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	// Revision is the platform revision of the instance; it rises with each change.
	Revision int64 `json:"-"`
}

// Cache is a local copy of the instance list that follows the platform. It is safe for concurrent
// use.
type Cache struct {
	onChange            func([]Instance)
	onPlatformLost      func(error)
	onPlatformRecovered func()

	mu   sync.Mutex
	byID map[string]Instance
	// revisions holds the revision of the object of each instance by ID.
	revisions map[string]int64
	// revision is the platform revision up to which all changes are applied.
	revision int64
	// isFollowing is cleared while the platform does not respond.
	isFollowing bool
}

// Options configures a Cache. Nil functions are not called.
type Options struct {
	// OnChange receives all instances after each change, ordered by ID.
	OnChange func([]Instance)
	// OnPlatformLost is called when the platform stops responding, and OnPlatformRecovered when it
	// responds again.
	OnPlatformLost      func(error)
	OnPlatformRecovered func()
}

// New returns an empty Cache.
func New(o Options) *Cache {
	return &Cache{onChange: o.OnChange, onPlatformLost: o.OnPlatformLost, onPlatformRecovered: o.OnPlatformRecovered, byID: map[string]Instance{}, revisions: map[string]int64{}}
}

// Run follows the list until ctx ends.
func (c *Cache) Run(ctx context.Context, client *platform.Client) {
	client.Follow(ctx, Kind, c)
}

// All returns the instances ordered by ID.
func (c *Cache) All() []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Instance, 0, len(c.byID))
	for _, i := range c.byID {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Replace implements platform.Follower.
func (c *Cache) Replace(items []platform.Object) {
	c.mu.Lock()
	c.replaceLocked(items)
	c.mu.Unlock()
	c.notifyChange()
}

// replaceLocked replaces all instances. Cache.mu must be held.
func (c *Cache) replaceLocked(items []platform.Object) {
	c.byID = make(map[string]Instance, len(items))
	c.revisions = make(map[string]int64, len(items))
	for _, o := range items {
		c.applyLocked(o)
	}
}

// ApplyChange implements platform.Follower.
func (c *Cache) ApplyChange(o platform.Object) {
	c.mu.Lock()
	c.applyLocked(o)
	c.mu.Unlock()
	c.notifyChange()
}

// PlatformLost implements platform.Follower.
func (c *Cache) PlatformLost(err error) {
	c.mu.Lock()
	c.isFollowing = false
	c.mu.Unlock()
	if c.onPlatformLost != nil {
		c.onPlatformLost(err)
	}
}

// PlatformRecovered implements platform.Follower.
func (c *Cache) PlatformRecovered() {
	if c.onPlatformRecovered != nil {
		c.onPlatformRecovered()
	}
}

// applyLocked stores one instance, or removes it if its object is deleted or invalid. Cache.mu
// must be held.
func (c *Cache) applyLocked(o platform.Object) {
	var i Instance
	if o.Deleted || json.Unmarshal(o.Value, &i) != nil {
		delete(c.byID, o.Name)
		delete(c.revisions, o.Name)
		return
	}
	c.revisions[o.Name] = o.Revision
	i.ID = o.Name
	i.Revision = o.Revision
	c.byID[o.Name] = i
}

func (c *Cache) notifyChange() {
	if c.onChange != nil {
		c.onChange(c.All())
	}
}
