package entry

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/news"
)

// initWatch creates the instance list and the watch that exchanges updates with peers.
func (p *entryProcess) initWatch() {
	p.instanceList = instancelist.New(instancelist.Options{
		OnChange:            p.handleInstancesChanged,
		OnPlatformLost:      p.recordPlatformLost,
		OnPlatformRecovered: p.recordPlatformRecovered,
	})
	p.watch = news.New(news.Options{
		Name:        p.settings.Name,
		Zone:        p.settings.Zone,
		Region:      p.settings.Region,
		Config:      p.config,
		List:        p.instanceList,
		Events:      p.events,
		Credentials: p.credentials,
		Registry:    p.registry,
	})
	p.watch.Register(p.controlServer)
}
