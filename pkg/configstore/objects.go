package configstore

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Objects is what a store needs of the platform.
type Objects interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
	List(ctx context.Context, kind string) (platform.List, error)
	Follow(ctx context.Context, kind string, f platform.Follower)
}

const (
	// Kind is the object kind of the head, which is watched.
	Kind = "configuration"
	// Name is the name of the head.
	Name = "head"
	// SectionKind is the object kind of the contents of sections.
	SectionKind = "configuration-section"
	// MaxSectionBytes bounds the canonical encoding of a section.
	MaxSectionBytes = 1 << 20
)
