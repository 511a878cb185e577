package configuration

import "github.com/rcrowley/go-metrics"

// VersionMetric is the name of the gauge of the version in force in a process.
const VersionMetric = "configuration_version"

// Register registers the gauge VersionMetric with r.
func (h *Holder) Register(r metrics.Registry) error {
	return r.Register(VersionMetric, metrics.NewFunctionalGauge(func() int64 { return h.View().Version() }))
}
