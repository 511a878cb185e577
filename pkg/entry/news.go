package entry

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/news"
)

// startNews makes the instance list and the watch over the neighbours of this entry.
func (n *node) startNews() {
	n.list = instancelist.New(instancelist.Options{
		OnChange:            n.instancesChanged,
		OnPlatformLost:      n.platformLost,
		OnPlatformRecovered: n.platformRecovered,
	})
	n.watch = news.New(news.Options{
		Name:        n.settings.Name,
		Zone:        n.settings.Zone,
		Region:      n.settings.Region,
		Config:      n.config,
		List:        n.list,
		Events:      n.events,
		Credentials: n.credentials,
		Registry:    n.registry,
	})
	n.watch.Register(n.control)
}
