// Package metric writes a go-metrics registry in the Prometheus text format.
//
// Counters become counters, gauges and meters gauges, histograms and timers
// summaries with the quantiles 0.5, 0.95 and 0.99. Names keep letters, digits and
// underscores; other characters become underscores. Timers are in seconds.
package metric
