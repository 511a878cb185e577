package objects

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// LoseResponses is the number of further writes that take effect but get no response.
	LoseResponses int `json:"lose_answers"`
}

// Counts are the numbers of calls received so far, including those that failed by a fault.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// historySize is the number of changes kept for watches.
const historySize = 4096

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// Server is a stand-in of the object API. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	revision int64
	objects  map[objectKey]platform.Object
	// history holds the newest changes in order of their revisions.
	history []platform.Object
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  Faults
	counts  Counts
}

// New returns a server without objects.
func New() *Server {
	return &Server{objects: map[objectKey]platform.Object{}, changed: make(chan struct{})}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.POST("/faults", s.setFaults)
	g.GET("/counts", func(c *gin.Context) { c.JSON(http.StatusOK, s.Counts()) })
	api := g.Group("/", s.injectFaults)
	api.GET("/objects/:kind", s.list)
	api.GET("/objects/:kind/:name", s.get)
	api.PUT("/objects/:kind/:name", s.put)
	api.DELETE("/objects/:kind/:name", s.remove)
	api.GET("/watch/:kind", s.watch)
	return g
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// setFaults serves POST /faults.
func (s *Server) setFaults(c *gin.Context) {
	var f Faults
	if c.BindJSON(&f) == nil {
		s.SetFaults(f)
		c.Status(http.StatusOK)
	}
}

// injectFaults counts the call and applies the outage and the delay to it.
func (s *Server) injectFaults(c *gin.Context) {
	s.mu.Lock()
	f := s.faults
	if c.Request.Method == http.MethodGet {
		s.counts.Reads++
	} else {
		s.counts.Writes++
	}
	s.mu.Unlock()
	if f.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
		case <-c.Request.Context().Done():
		}
	}
	if f.Down {
		c.AbortWithStatus(http.StatusServiceUnavailable)
	}
}

func (s *Server) list(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.List{Revision: s.revision}
	for k, o := range s.objects {
		if k.kind == c.Param("kind") {
			l.Items = append(l.Items, o)
		}
	}
	sort.Slice(l.Items, func(a, b int) bool { return l.Items[a].Name < l.Items[b].Name })
	c.JSON(http.StatusOK, l)
}

func (s *Server) get(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[keyOf(c)]
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, o)
}

func (s *Server) put(c *gin.Context) {
	body, err := c.GetRawData()
	if err != nil || !json.Valid(body) {
		c.Status(http.StatusBadRequest)
		return
	}
	if len(body) > maxValueBytes {
		c.Status(http.StatusRequestEntityTooLarge)
		return
	}
	s.write(c, platform.Object{Value: body})
}

func (s *Server) remove(c *gin.Context) {
	s.write(c, platform.Object{Deleted: true})
}

// write applies a write that is conditional on the revision of the object; revision 0 means that
// the object does not exist. It responds unless the response is to be lost.
func (s *Server) write(c *gin.Context, o platform.Object) {
	expected, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := keyOf(c)
	if s.objects[k].Revision != expected {
		c.Status(http.StatusConflict)
		return
	}
	s.revision++
	o.Kind = k.kind
	o.Name = k.name
	o.Revision = s.revision
	s.apply(k, o)
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, o)
}

// apply stores or deletes an object and notifies the watches. The caller holds Server.mu.
func (s *Server) apply(k objectKey, o platform.Object) {
	s.objects[k] = o
	if o.Deleted {
		delete(s.objects, k)
	}
	s.history = append(s.history, o)
	if len(s.history) > historySize {
		s.history = s.history[len(s.history)-historySize:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch responds with the changes after a revision, or with an empty list after wait_ms.
func (s *Server) watch(c *gin.Context) {
	after, err := strconv.ParseInt(c.Query("after"), 10, 64)
	waitMillis, waitErr := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		l, tooOld, changed := s.changesSince(c.Param("kind"), after)
		if tooOld {
			c.Status(http.StatusGone)
			return
		}
		if len(l.Items) > 0 {
			c.JSON(http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			c.JSON(http.StatusOK, l)
			return
		case <-c.Request.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a kind after a revision and a channel that is closed at the
// next change. It reports true when the revision is unknown or older than the history.
func (s *Server) changesSince(kind string, after int64) (platform.List, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.List{Revision: s.revision}
	if after > s.revision {
		return l, true, s.changed
	}
	if len(s.history) > 0 && after < s.history[0].Revision-1 {
		return l, true, s.changed
	}
	for _, o := range s.history {
		if o.Kind == kind && o.Revision > after {
			l.Items = append(l.Items, o)
		}
	}
	return l, false, s.changed
}

// keyOf returns the key of the object in the path of a request.
func keyOf(c *gin.Context) objectKey {
	return objectKey{c.Param("kind"), c.Param("name")}
}
