package gateway

import (
	"context"
	"slices"
	"strconv"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// maxRelayedBytes is the size of changes of the store up to which they are read from a neighbour. Larger ones are read
// from the store.
const maxRelayedBytes = 32 << 10

// ChangesRequest requests the changes of a kind since a position.
type ChangesRequest struct {
	Kind     string `json:"kind"`
	Era      int64  `json:"era"`
	Revision int64  `json:"revision"`
}

// ChangesResponse has the changes of a kind up to a position.
type ChangesResponse struct {
	Era      int64          `json:"era"`
	Revision int64          `json:"revision"`
	IsList   bool           `json:"is_list,omitempty"`
	Objects  []ChangedValue `json:"objects,omitempty"`
	// TooLarge is set in place of the objects if they are to be read from the store.
	TooLarge bool `json:"too_large,omitempty"`
}

// EncodedSize implements peer.Sized. The JSON texts of objects are encoded as strings.
func (r ChangesResponse) EncodedSize() int {
	size := 0
	for _, o := range r.Objects {
		size += len(o.Name) + len(o.Spec) + len(o.Spec)/4 // with the escapes of quotes
	}
	return size
}

// ChangedValue is an object of the store that has changed.
type ChangedValue struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Spec is the JSON text of the object.
	Spec    string `json:"spec,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// handleChanges answers a peer.
func (f *storeFeed) handleChanges(r ChangesRequest) ChangesResponse {
	f.mu.Lock()
	i := slices.IndexFunc(f.kinds, func(k *kindFeed) bool { return k.kind == r.Kind })
	if i < 0 {
		f.mu.Unlock()
		return ChangesResponse{Revision: -1}
	}
	cursor := f.kinds[i].cursor
	f.mu.Unlock()
	changes := cursor.ChangesSince(platform.Position{Era: r.Era, Revision: r.Revision})
	out := ChangesResponse{Era: changes.To.Era, Revision: changes.To.Revision, IsList: changes.IsList}
	size := 0
	for _, o := range changes.Objects {
		size += len(o.Spec)
	}
	if size > maxRelayedBytes {
		out.TooLarge = true
		return out
	}
	for _, o := range changes.Objects {
		out.Objects = append(out.Objects, ChangedValue{Name: o.Name, Revision: o.Revision, Spec: string(o.Spec), Deleted: o.Deleted})
	}
	return out
}

// pullChanges reads the changes of some kinds from a peer.
func (p *Peers) pullChanges(kinds []*kindFeed, name, address string) {
	for _, k := range kinds {
		if k.beginPull() {
			go p.pull(k, name, address)
		}
	}
}

func (k *kindFeed) beginPull() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pulling {
		return false
	}
	k.pulling = true
	return true
}

func (p *Peers) pull(k *kindFeed, name, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	from, _ := k.cursor.Position()
	response, err := p.transport.changes(ctx, address, ChangesRequest{Kind: k.kind, Era: from.Era, Revision: from.Revision})
	k.mu.Lock()
	k.pulling = false
	k.readNow = k.readNow || err != nil || response.TooLarge
	k.mu.Unlock()
	if err != nil {
		p.log.Info("changes-not-read", "kind", k.kind, "peer", name, "error", err.Error())
		return
	}
	if response.TooLarge {
		return
	}
	changes := platform.Changes{IsList: response.IsList, To: platform.Position{Era: response.Era, Revision: response.Revision}}
	for _, o := range response.Objects {
		changes.Objects = append(changes.Objects, platform.Object{Name: o.Name, Revision: o.Revision, Spec: []byte(o.Spec), Deleted: o.Deleted})
	}
	if k.cursor.Apply(from, changes) {
		p.log.Info("changes-read", "kind", k.kind, "peer", name, "objects", len(changes.Objects), "revision", strconv.FormatInt(response.Revision, 10))
		p.tell()
	}
}
