package entry

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

// followOptions returns the options to follow the stored configuration, and to restore a newer
// one when the platform was reset to an older state.
func (p *entryProcess) followOptions() configstore.FollowOptions {
	return configstore.FollowOptions{
		Adopt:    p.adoptConfiguration,
		InForce:  p.config.Document,
		Repaired: p.recordRepair,
		Author:   p.settings.Name,
	}
}

// recordRepair records that the configuration in force was stored again as version, and the edits
// that this displaced.
func (p *entryProcess) recordRepair(version int64, displaced []configuration.Edit) {
	p.events.Record(event.Event{Kind: event.ConfigRepaired, ConfigVersion: version})
	for _, e := range displaced {
		p.events.Record(event.Event{
			Kind: event.ConfigEditDisplaced, ConfigVersion: e.Version, Detail: "edit " + e.ID + " by " + e.Author,
		})
	}
}
