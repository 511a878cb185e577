package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operators' `HOST:PORT` of a process; repeatable", Required: true},
			&cli.StringFlag{Name: "token", Usage: "operators' token"},
			&cli.StringFlag{Name: "request", Usage: "only events of a request"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	var all []event.Event
	for _, a := range c.StringSlice("operator") {
		list, err := Events(ctx, a, c.String("token"))
		if err != nil {
			return err
		}
		all = append(all, list...)
	}
	Sort(all)
	for _, e := range all {
		if want := c.String("request"); want != "" && e.Request != want {
			continue
		}
		if err := printEvent(c.Root().Writer, e, c.Bool("json")); err != nil {
			return err
		}
	}
	return nil
}

// eventsTimeout bounds the call for the events of one process.
const eventsTimeout = 5 * time.Second

// Events returns the events of the process with the operators' address.
func Events(ctx context.Context, address, token string) ([]event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/events", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, oops.Errorf("%s answered status %d", address, resp.StatusCode)
	}
	var list []event.Event
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, err
}

// Sort orders events by their stamps.
func Sort(list []event.Event) {
	sort.SliceStable(list, func(a, b int) bool { return list[a].Stamp.Before(list[b].Stamp) })
}

func printEvent(w io.Writer, e event.Event, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(e)
	}
	_, err := fmt.Fprintln(w, Line(e))
	return err
}

// Line formats an event as one line.
func Line(e event.Event) string {
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
