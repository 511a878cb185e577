package metric

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// ReportInterval is the time between two lines of LogCounters.
const ReportInterval = 5 * time.Second

// ControlPrefixes are the prefixes of the counters of what a process sends for control.
var ControlPrefixes = []string{"peer_", "store_calls_"}

// LogCounters logs, until ctx ends, by how much the counters with one of the prefixes have grown in each
// interval. Counters that have not grown are left out.
func LogCounters(ctx context.Context, m metrics.Registry, log hclog.Logger, event string, prefixes ...string) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	last := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if fields := growth(m, last, prefixes); len(fields) > 0 {
				log.Info(event, append([]any{"interval", ReportInterval}, fields...)...)
			}
		}
	}
}

// growth returns the names of counters and by how much they exceed last, which it updates.
func growth(m metrics.Registry, last map[string]int64, prefixes []string) []any {
	grown := map[string]int64{}
	m.Each(func(name string, metric any) {
		c, ok := metric.(metrics.Counter)
		if !ok || !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			return
		}
		if n := c.Count() - last[name]; n != 0 {
			grown[name] = n
			last[name] += n
		}
	})
	var names []string
	for name := range grown {
		names = append(names, name)
	}
	slices.Sort(names)
	var fields []any
	for _, name := range names {
		fields = append(fields, name, grown[name])
	}
	return fields
}
