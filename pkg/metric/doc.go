// Package metric writes a go-metrics registry in the Prometheus text format.
//
// Counters are written as counters, gauges and meters as gauges, histograms and timers as summaries
// with the quantiles 0.5, 0.95 and 0.99. A meter is written as its one-minute rate. Characters of
// names other than ASCII letters, digits and underscores become underscores. Timers are in seconds.
package metric
