package configuration

import "github.com/rcrowley/go-metrics"

// VersionMetric is the name of the metric with the version in force in a process.
const VersionMetric = "configuration_version"

// Register adds the version in force to a registry.
func (h *Holder) Register(r metrics.Registry) error {
	return r.Register(VersionMetric, metrics.NewFunctionalGauge(func() int64 { return h.View().Version() }))
}
