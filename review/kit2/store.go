package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name, one
// revision counter, lists in pages, watches and conditional writes.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]*object
	history  []change
	dropped  int64
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	at       time.Time
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// historyTime is history_s of the settings.
const historyTime = 20 * time.Second

const pageItems, pageBytes = 500, 1 << 20

func newStore(host string) *store {
	s := &store{changed: make(chan struct{}), revision: 100, objects: map[string]map[string]*object{}}
	l := listen(host)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// listen opens a listener on a free port of a loopback address.
func listen(host string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// put writes an object for the operator or a worker.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		cannotRun("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	m := s.objects[kind]
	if m == nil {
		m = map[string]*object{}
		s.objects[kind] = m
	}
	s.revision++
	o := m[name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		m[name] = o
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.record(change{kind: kind, Object: *o})
	return *o
}

func (s *store) delete(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.record(change{kind: kind, Object: *o, Deleted: true})
}

func (s *store) record(c change) {
	c.revision, c.at = s.revision, time.Now()
	s.history = append(s.history, c)
	s.dropHistory()
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops what is older than historyTime.
func (s *store) dropHistory() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].revision
		s.history = s.history[1:]
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][parts[1]]
		var text []byte
		if o != nil {
			text, _ = json.Marshal(o)
		}
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, json.RawMessage(text))
	default:
		s.change(w, r, kind, parts[1:])
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, name := range names {
		o := *s.objects[kind][name]
		if len(items) > 0 && (len(items) >= pageItems || size+len(o.Spec) > pageBytes) {
			more = true
			break
		}
		items = append(items, o)
		size += len(o.Spec)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropHistory()
		if from < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		// The answer ends after about a megabyte, like a page of a list; the next watch goes on from its revision.
		events, size := []change{}, 0
		at, changed := s.revision, s.changed
		for _, c := range s.history {
			if c.kind != kind || c.revision <= from {
				continue
			}
			if len(events) > 0 && size+len(c.Object.Spec) > pageBytes {
				at = events[len(events)-1].revision
				break
			}
			events = append(events, c)
			size += len(c.Object.Spec)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind string, rest []string) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(text, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodPost:
		if o := s.objects[kind][in.Metadata.Name]; o != nil {
			reply(w, http.StatusConflict, o)
			return
		}
		reply(w, http.StatusOK, s.write(kind, in.Metadata.Name, in.Spec))
	case r.Method == http.MethodPut && len(rest) == 1:
		o := s.objects[kind][rest[0]]
		switch {
		case o == nil:
			w.WriteHeader(http.StatusNotFound)
		case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
			reply(w, http.StatusConflict, o)
		default:
			reply(w, http.StatusOK, s.write(kind, rest[0], in.Spec))
		}
	case r.Method == http.MethodDelete && len(rest) == 1:
		if s.objects[kind][rest[0]] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.delete(kind, rest[0])
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// size returns the size of an object's spec in bytes.
func (s *store) size(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind][name].Spec)
}
