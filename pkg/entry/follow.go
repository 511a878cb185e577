package entry

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

// followOptions make the entry follow the configuration and repair it when the platform
// was set back.
func (n *node) followOptions() configstore.FollowOptions {
	return configstore.FollowOptions{
		Adopt:    n.adopt,
		InForce:  n.config.Document,
		Repaired: n.repaired,
		Author:   n.settings.Name,
	}
}

func (n *node) repaired(version int64, displaced []configuration.Edit) {
	n.events.Record(event.Event{Kind: event.ConfigRepaired, ConfigVersion: version})
	for _, e := range displaced {
		n.events.Record(event.Event{
			Kind: event.ConfigDisplaced, ConfigVersion: e.Version, Detail: "edit " + e.ID + " by " + e.Author,
		})
	}
}
