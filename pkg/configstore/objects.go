package configstore

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// ObjectClient is the part of the platform client that a store uses. A put at revision 0 creates the
// object; other revisions must be the current one.
type ObjectClient interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
	List(ctx context.Context, kind string) (platform.List, error)
	Follow(ctx context.Context, kind string, f platform.Follower)
}

const (
	// HeadKind is the object kind of the head. Followers watch this kind.
	HeadKind = "configuration"
	// HeadName is the object name of the head.
	HeadName = "head"
	// SectionKind is the object kind of section contents, which is not watched.
	SectionKind = "configuration-section"
	// MaxSectionBytes limits the canonical encoding of a section.
	MaxSectionBytes = 1 << 20
)
