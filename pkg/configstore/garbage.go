package configstore

import (
	"context"
	"slices"
	"strings"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// unusedContent identifies a content object that may be removed if it still has this revision.
type unusedContent struct {
	name     string
	revision int64
}

// readRevisions reads the current revisions of contents. It leaves out those that cannot be read;
// Collect removes them later.
func (s *Store) readRevisions(ctx context.Context, list []configuration.ContentRef) []unusedContent {
	var out []unusedContent
	for _, c := range list {
		name := contentName(c.Section, c.Hash)
		o, err := s.objects.Get(ctx, SectionKind, name)
		if err == nil {
			out = append(out, unusedContent{name, o.Revision})
		}
	}
	return out
}

// removeContents removes the contents whose revision has not changed and returns how many it
// removed. Collect retries those that it fails to remove.
func (s *Store) removeContents(ctx context.Context, list []unusedContent) int {
	removed := 0
	for _, u := range list {
		if s.objects.Delete(ctx, SectionKind, u.name, u.revision) == nil {
			removed++
		}
	}
	return removed
}

// Collect removes all contents that neither the head nor its history refers to, and returns how
// many it removed. It first rewrites the head unchanged, so that the write of the head by a
// concurrent edit that uses such a content again fails and the edit is retried.
func (s *Store) Collect(ctx context.Context) (int, error) {
	objects, err := s.objects.List(ctx, SectionKind)
	if err != nil {
		return 0, err
	}
	h, revision, err := s.Head(ctx)
	if err != nil || h.Version == 0 {
		return 0, err
	}
	var used []string
	for c := range h.Reachable() {
		used = append(used, contentName(c.Section, c.Hash))
	}
	var unused []unusedContent
	for _, o := range objects.Items {
		if !slices.Contains(used, o.Name) && isContentName(o.Name) {
			unused = append(unused, unusedContent{o.Name, o.Revision})
		}
	}
	if len(unused) == 0 {
		return 0, nil
	}
	if _, err := s.objects.Put(ctx, HeadKind, HeadName, revision, h); err != nil {
		return 0, err
	}
	return s.removeContents(ctx, unused), nil
}

// isContentName reports whether name is an object name that contentName could have returned.
func isContentName(name string) bool {
	for _, s := range configuration.Sections() {
		if strings.HasPrefix(name, string(s)+"-") {
			return true
		}
	}
	return false
}
