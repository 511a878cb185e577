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

// recordStore keeps the record of a group at the platform for one owner. Its calls run
// beside the owner; group.mu is held when they are asked for and taken when they end.
type recordStore struct {
	group *group
	owner *expertmap.Owner
}

// storeCallTimeout bounds a call.
const storeCallTimeout = 3 * time.Second

// ReadRecord implements expertmap.Store.
func (s *recordStore) ReadRecord() {
	s.group.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
		defer cancel()
		o, err := s.group.platform.Get(ctx, rankgroup.Kind, s.group.groupSettings.Name)
		if errors.Is(err, platform.ErrNotFound) {
			s.runLocked(func() { s.owner.Read(0, expertmap.Record{}) })
			return
		}
		var r expertmap.Record
		if err == nil {
			err = json.Unmarshal(o.Value, &r)
		}
		s.runLocked(func() {
			if err != nil {
				s.owner.Unknown()
				return
			}
			s.owner.Read(o.Revision, r)
		})
	})
}

// WriteRecord implements expertmap.Store.
func (s *recordStore) WriteRecord(revision int64, r expertmap.Record) {
	s.group.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
		defer cancel()
		o, err := s.group.platform.Put(ctx, rankgroup.Kind, s.group.groupSettings.Name, revision, r)
		s.runLocked(func() {
			if err != nil {
				// A conflict and a lost answer are settled by reading the record.
				s.owner.Unknown()
				return
			}
			s.owner.Wrote(o.Revision, r)
		})
	})
}

func (s *recordStore) runLocked(f func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	f()
}
