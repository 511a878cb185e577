package metric

import (
	"io"
	"sort"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// namePrefix is the prefix of all metric names.
const namePrefix = "coltsfoot_"

// quantiles are those written for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics of r to w, ordered by name.
func Write(w io.Writer, r metrics.Registry) error {
	families := make([]*dto.MetricFamily, 0)
	r.Each(func(name string, m any) {
		if f := toFamily(name, m); f != nil {
			families = append(families, f)
		}
	})
	sort.Slice(families, func(a, b int) bool { return families[a].GetName() < families[b].GetName() })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

// toFamily converts a metric; it returns nil for an unsupported type.
func toFamily(name string, m any) *dto.MetricFamily {
	switch v := m.(type) {
	case metrics.Counter:
		return newFamily(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: ptr(float64(v.Count()))}})
	case metrics.Gauge:
		return gaugeFamily(name, float64(v.Value()))
	case metrics.GaugeFloat64:
		return gaugeFamily(name, v.Value())
	case metrics.Meter:
		return gaugeFamily(name, v.Rate1())
	case metrics.Histogram:
		s := v.Snapshot()
		return summaryFamily(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := v.Snapshot()
		return summaryFamily(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1/float64(time.Second))
	}
	return nil
}

func gaugeFamily(name string, value float64) *dto.MetricFamily {
	return newFamily(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(value)}})
}

// summaryFamily returns a summary whose sum and quantile values are multiplied by scale.
func summaryFamily(name string, count int64, sum float64, quantileValues []float64, scale float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: ptr(uint64(count)), SampleSum: ptr(sum * scale)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(q), Value: ptr(quantileValues[i] * scale)})
	}
	return newFamily(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}

// newFamily returns a family of type t with the single metric m.
func newFamily(name string, t dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: ptr(namePrefix + sanitizeName(name)), Type: &t, Metric: []*dto.Metric{m}}
}

// sanitizeName replaces the characters that the text format does not allow in names.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}

func ptr[T any](v T) *T { return &v }
