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

// versionMetric is the metric that carries the version in force in a process.
const versionMetric = "coltsfoot_" + configuration.VersionMetric

// status prints "in force on n of m" and what the others lack.
func status(ctx context.Context, c *cli.Command) error {
	h, _, err := store(c).Head(ctx)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	addresses := c.StringSlice("operator")
	inForce, holders := 0, 0
	var oldest time.Duration
	for _, answer := range askAll(ctx, c, addresses, version) {
		if answer.err != nil {
			holders++
			fmt.Fprintf(out, "%s does not answer: %v\n", answer.address, answer.err)
			continue
		}
		if answer.value == noConfiguration {
			continue
		}
		holders++
		if answer.value >= h.Version {
			inForce++
			continue
		}
		age := behind(h, answer.value, time.Now())
		oldest = max(oldest, age)
		fmt.Fprintf(out, "%s has version %d, behind for %.0f seconds\n", answer.address, answer.value, age.Seconds())
	}
	fmt.Fprintf(out, "version %d is in force on %d of %d, oldest %.0f seconds\n", h.Version, inForce, holders, oldest.Seconds())
	return nil
}

// behind returns the time since the first edit that a process lacks, as far as the history reaches.
func behind(h configuration.Head, version int64, now time.Time) time.Duration {
	for _, e := range h.History {
		if e.Version > version {
			return now.Sub(time.UnixMilli(e.AtMillis))
		}
	}
	return 0
}

// noConfiguration stands for a process whose role needs no configuration.
const noConfiguration = -1

// version reads the version in force in a process from its metrics.
func version(ctx context.Context, o operatorClient, address string) (int64, error) {
	body, err := o.get(ctx, address, "/metrics")
	if err != nil {
		return 0, err
	}
	defer body.Close()
	return parseVersion(body)
}

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
