package configstore

import (
	"context"
	"slices"
	"strings"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// unusedContent is a content object that may be removed at a revision.
type unusedContent struct {
	name     string
	revision int64
}

// readRevisions looks up the revisions of contents. One that cannot be read is left for Collect.
func (s *Store) readRevisions(ctx context.Context, list []configuration.Content) []unusedContent {
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

// removeContents removes contents whose revision has not changed. A failure leaves the
// object for Collect.
func (s *Store) removeContents(ctx context.Context, list []unusedContent) int {
	removed := 0
	for _, u := range list {
		if s.objects.Delete(ctx, SectionKind, u.name, u.revision) == nil {
			removed++
		}
	}
	return removed
}

// Collect removes all contents that neither the head nor its history names, and
// returns their number. It rewrites the head unchanged first, so that an edit that
// re-uses a content meanwhile fails its own write of the head and starts over.
func (s *Store) Collect(ctx context.Context) (int, error) {
	all, err := s.objects.List(ctx, SectionKind)
	if err != nil {
		return 0, err
	}
	h, revision, err := s.Head(ctx)
	if err != nil || h.Version == 0 {
		return 0, err
	}
	var keep []string
	for c := range h.Reachable() {
		keep = append(keep, contentName(c.Section, c.Hash))
	}
	var list []unusedContent
	for _, o := range all.Items {
		if !slices.Contains(keep, o.Name) && isContentName(o.Name) {
			list = append(list, unusedContent{o.Name, o.Revision})
		}
	}
	if len(list) == 0 {
		return 0, nil
	}
	if _, err := s.objects.Put(ctx, Kind, Name, revision, h); err != nil {
		return 0, err
	}
	return s.removeContents(ctx, list), nil
}

// isContentName reports whether an object is named as this store names contents.
func isContentName(name string) bool {
	for _, s := range configuration.Sections() {
		if strings.HasPrefix(name, string(s)+"-") {
			return true
		}
	}
	return false
}
