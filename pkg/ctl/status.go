package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// versionMetric is the name of the metric with the configuration version in force in a process.
const versionMetric = "coltsfoot_" + configuration.VersionMetric

// printStatus prints on how many processes the newest version is in force, and how far behind each
// of the other processes is. A process that does not respond counts as configured.
func printStatus(ctx context.Context, c *cli.Command) error {
	h, _, err := newConfigStore(c).Head(ctx)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	addresses := c.StringSlice("operator")
	inForce, configured := 0, 0
	var oldest time.Duration
	for _, result := range queryAll(ctx, c, addresses, fetchVersion) {
		if result.err != nil {
			configured++
			fmt.Fprintf(out, "%s does not answer: %v\n", result.address, result.err)
			continue
		}
		if result.value == noConfiguration {
			continue
		}
		configured++
		if result.value >= h.Version {
			inForce++
			continue
		}
		age := timeBehind(h, result.value, time.Now())
		oldest = max(oldest, age)
		fmt.Fprintf(out, "%s has version %d, behind for %.0f seconds\n", result.address, result.value, age.Seconds())
	}
	fmt.Fprintf(out, "version %d is in force on %d of %d, oldest %.0f seconds\n", h.Version, inForce, configured, oldest.Seconds())
	return nil
}

// timeBehind returns the time since the first edit that is newer than version, the version in force in
// a process. Edits that are no longer in the history are not counted.
func timeBehind(h configuration.Head, version int64, now time.Time) time.Duration {
	for _, e := range h.History {
		if e.Version > version {
			return now.Sub(time.UnixMilli(e.AtMillis))
		}
	}
	return 0
}

// noConfiguration is the version of a process whose role needs no configuration.
const noConfiguration = -1

// fetchVersion reads the configuration version in force in a process from its metrics.
func fetchVersion(ctx context.Context, o operatorClient, address string) (int64, error) {
	body, err := o.get(ctx, address, "/metrics")
	if err != nil {
		return 0, err
	}
	defer body.Close()
	return parseVersion(body)
}

// parseVersion returns the value of versionMetric, or noConfiguration if the metric is missing.
func parseVersion(r io.Reader) (int64, error) {
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(r)
	if err != nil {
		return 0, err
	}
	f := families[versionMetric]
	if f == nil || len(f.GetMetric()) == 0 {
		return noConfiguration, nil
	}
	return int64(f.GetMetric()[0].GetGauge().GetValue()), nil
}
