package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes",
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "request", Usage: "only events of a request"},
			&cli.StringFlag{Name: "upstream", Usage: "only events of an upstream"},
			&cli.StringFlag{Name: "zone", Usage: "only events of an availability zone"},
			&cli.StringFlag{Name: "kind", Usage: "only events of a kind"},
			&cli.Int64Flag{Name: "config-version", Usage: "only events of a configuration version"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the newest `DURATION`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
		),
		Action: printTimeline,
	}
}

func printTimeline(ctx context.Context, c *cli.Command) error {
	events, failed := collectEvents(ctx, c)
	f := event.Filter{
		Request: c.String("request"), Upstream: c.String("upstream"), Zone: c.String("zone"),
		Kind: event.Kind(c.String("kind")), ConfigVersion: c.Int64("config-version"),
	}
	if d := c.Duration("since"); d > 0 {
		f.Since = event.Stamp{Wall: time.Now().Add(-d).UnixNano()}
	}
	for _, e := range events {
		if !f.Match(e) {
			continue
		}
		if err := printEvent(c.Root().Writer, e, c.Bool("json")); err != nil {
			return err
		}
	}
	printFailures(c.Root().ErrWriter, failed)
	return nil
}

// failedProcess is a process whose events could not be fetched.
type failedProcess struct {
	address string
	err     error
}

// collectEvents returns the events of all processes ordered by their stamps, and the processes whose
// events could not be fetched.
func collectEvents(ctx context.Context, c *cli.Command) ([]event.Event, []failedProcess) {
	var events []event.Event
	var failed []failedProcess
	for _, result := range queryAll(ctx, c, c.StringSlice("operator"), fetchEvents) {
		if result.err != nil {
			failed = append(failed, failedProcess{result.address, result.err})
			continue
		}
		events = append(events, result.value...)
	}
	SortEvents(events)
	return events, failed
}

func printFailures(w io.Writer, failed []failedProcess) {
	for _, process := range failed {
		fmt.Fprintf(w, "no events of %s: %v\n", process.address, process.err)
	}
}

// FetchEvents returns the stored events, oldest first, of the process whose operators' listener has
// the given address. It uses plain HTTP.
func FetchEvents(ctx context.Context, address, token string) ([]event.Event, error) {
	o, err := newOperatorClient(token, "")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return fetchEvents(ctx, o, address)
}

func fetchEvents(ctx context.Context, o operatorClient, address string) ([]event.Event, error) {
	body, err := o.get(ctx, address, "/events")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	var list []event.Event
	err = json.NewDecoder(body).Decode(&list)
	return list, err
}

// SortEvents orders events by their stamps.
func SortEvents(list []event.Event) {
	sort.SliceStable(list, func(a, b int) bool { return list[a].Stamp.Before(list[b].Stamp) })
}

func printEvent(w io.Writer, e event.Event, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(e)
	}
	_, err := fmt.Fprintln(w, FormatEvent(e))
	return err
}

// FormatEvent formats an event as one line; fields that are not set are left out.
func FormatEvent(e event.Event) string {
	at := time.Unix(0, e.Stamp.Wall).UTC().Format("15:04:05.000000")
	s := fmt.Sprintf("%s %-26s %-22s", at, e.Process, e.Kind)
	add := func(k, v string) {
		if v != "" {
			s += " " + k + "=" + v
		}
	}
	add("request", e.Request)
	if e.Attempt != 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	add("organisation", e.Organisation)
	add("upstream", e.Upstream)
	add("zone", e.Zone)
	if e.ConfigVersion != 0 {
		add("config_version", fmt.Sprint(e.ConfigVersion))
	}
	if e.Code != 0 {
		add("code", fmt.Sprint(e.Code))
	}
	add("detail", e.Detail)
	return s
}
