//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history (history_s in the settings).
const historyTime = 20 * time.Second

// pageBytes and pageItems limit a page of a list, as PROTOCOL.md has it, and the answer to a watch.
const (
	pageBytes = 1 << 20
	pageItems = 500
)

// store is a stand-in for the platform's store. It keeps what PROTOCOL.md says of lists, watches, creation,
// replacement and removal.
type store struct {
	server *httptest.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]object
	history  []event
	// droppedUpTo is the newest revision that is no longer in the history.
	droppedUpTo int64
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

type event struct {
	kind     string
	revision int64
	at       time.Time
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), revision: 1, objects: map[string]map[string]object{}}
	s.server = httptest.NewServer(s)
	return s
}

func (s *store) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// put writes an object, as its owner does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.record(event{kind: kind, Deleted: true, Object: o})
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind, name string, spec []byte) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	o.Metadata.Name, o.Spec = name, spec
	o.Metadata.Revision = s.revision + 1
	if !exists {
		o.Metadata.Created = o.Metadata.Revision
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, Object: o})
	return o
}

// record adds an event to the history and drops old ones. The caller holds s.mu.
func (s *store) record(e event) {
	s.revision++
	e.revision, e.at = s.revision, time.Now()
	s.history = append(s.history, e)
	s.dropOld()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) dropOld() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.droppedUpTo = s.history[0].revision
		s.history = s.history[1:]
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size := []object{}, 0
	for _, name := range names {
		o := s.objects[kind][name]
		if len(items) > 0 && (len(items) == pageItems || size+len(o.Spec) > pageBytes) {
			break
		}
		items, size = append(items, o), size+len(o.Spec)
	}
	body := map[string]any{"items": items, "has_more": len(items) < len(names), "at": s.revision}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropOld()
		gone := after < s.droppedUpTo
		changed, at := s.changed, s.revision
		events, size := []event{}, 0
		for _, e := range s.history {
			if e.kind != kind || e.revision <= after {
				continue
			}
			if len(events) > 0 && (len(events) == pageItems || size+len(e.Object.Spec) > pageBytes) {
				at = events[len(events)-1].revision
				break
			}
			events, size = append(events, e), size+len(e.Object.Spec)
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change creates, replaces or removes an object of the system.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	if r.Method == http.MethodDelete {
		s.mu.Lock()
		_, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	status, out := http.StatusOK, current
	switch wanted := body.Metadata.Revision; {
	case r.Method == http.MethodPost && exists, exists && wanted != 0 && wanted != current.Metadata.Revision:
		status = http.StatusConflict
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	default:
		out = s.write(kind, name, body.Spec)
	}
	s.mu.Unlock()
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
