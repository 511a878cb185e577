package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/rankgroup"
)

// recordStore reads and writes the record of a group at the platform for one owner. Each call
// runs in its own goroutine: group.mu is held when it is started, and locked again to report the
// result to the owner.
type recordStore struct {
	group *group
	owner *expertmap.Owner
}

// storeCallTimeout is the timeout of a call to the platform.
const storeCallTimeout = 3 * time.Second

// RequestRead implements expertmap.RecordStore.
func (s *recordStore) RequestRead() {
	s.group.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
		defer cancel()
		o, err := s.group.platform.Get(ctx, rankgroup.RecordKind, s.group.groupSettings.Name)
		if errors.Is(err, platform.ErrNotFound) {
			s.runLocked(func() { s.owner.HandleRead(0, expertmap.Record{}) })
			return
		}
		var r expertmap.Record
		if err == nil {
			err = json.Unmarshal(o.Value, &r)
		}
		s.runLocked(func() {
			if err != nil {
				s.owner.HandleUnknownOutcome()
				return
			}
			s.owner.HandleRead(o.Revision, r)
		})
	})
}

// RequestWrite implements expertmap.RecordStore.
func (s *recordStore) RequestWrite(revision int64, r expertmap.Record) {
	s.group.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
		defer cancel()
		o, err := s.group.platform.Put(ctx, rankgroup.RecordKind, s.group.groupSettings.Name, revision, r)
		s.runLocked(func() {
			if err != nil {
				// After a conflict or a lost response, the owner reads the record again.
				s.owner.HandleUnknownOutcome()
				return
			}
			s.owner.HandleWritten(o.Revision, r)
		})
	})
}

// runLocked calls f with the mutex of the group held.
func (s *recordStore) runLocked(f func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	f()
}
