// Command coltsfoot-demo starts two small deployments on loopback, sends requests of several
// organisations while an availability zone is taken out and returned, and prints a sample
// response, the counts and the merged timeline. It exits with status 0 only when every response
// was complete and correct.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/internal/load"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/ctl"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

// demoTimeout limits the whole run.
const demoTimeout = 55 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

// deployments returns one deployment for each region.
func deployments() []fleet.Deployment {
	return []fleet.Deployment{
		{
			Region: "trondelag", Zones: []string{"gate-north", "gate-south", "lab-hall"}, Entries: 3,
			Model: "intake-llm", ModelWorkers: 4, Service: "weighbridge-app", ServiceWorkers: 3,
		},
		{
			Region: "mu-north", Zones: []string{"mu-north-a", "mu-north-b", "mu-north-c"}, Entries: 3,
			Model: "coltsfoot-pool", ModelWorkers: 4, Service: "records-api", ServiceWorkers: 3,
		},
	}
}

// zoneTakenOut maps a region to the availability zone that is taken out in its deployment.
var zoneTakenOut = map[string]string{"trondelag": "gate-north", "mu-north": "mu-north-b"}

var organisations = []string{"fjordbeet", "innherred-growers", "skolen", "lagoon-air"}

func run() error {
	// A closed pipe or a signal cancels the context instead of ending the process, so that the
	// deferred Close ends all processes of the fleet.
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGPIPE)
	defer stop()
	ctx, cancel := context.WithTimeout(signals, demoTimeout)
	defer cancel()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "coltsfoot-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.Start(ctx, fleet.Options{BinDir: filepath.Dir(executable), WorkDir: dir, Deployments: deployments(), Organisations: organisations})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Printf("started %d processes\n", len(f.Processes))
	wrong := 0
	for _, d := range deployments() {
		n, err := runZoneOutage(ctx, f, d)
		if err != nil {
			return err
		}
		wrong += n
	}
	if err := printTimeline(ctx, f); err != nil {
		return err
	}
	if wrong > 0 {
		return fmt.Errorf("%d answers were not whole", wrong)
	}
	fmt.Println("every answer was whole")
	return nil
}

// runZoneOutage sends requests to a deployment before, during and after the outage of one of its
// zones. It returns the number of responses that were not complete and correct.
func runZoneOutage(ctx context.Context, f *fleet.Fleet, d fleet.Deployment) (int, error) {
	zone := zoneTakenOut[d.Region]
	wrong := 0
	for _, s := range []struct {
		name  string
		state configuration.ZoneState
	}{{"before", configuration.ZoneIn}, {"out", configuration.ZoneOut}, {"back", configuration.ZoneIn}} {
		if s.name != "before" {
			version, err := f.SetZone(ctx, zone, s.state)
			if err != nil {
				return wrong, err
			}
			fmt.Printf("%s: zone %s is %s from configuration %d\n", d.Region, zone, s.state, version)
		}
		wrong += runPhase(ctx, f, d, s.name)
	}
	return wrong, nil
}

// runPhase sends the requests of one phase, prints the result and returns the number of
// responses that were not complete and correct.
func runPhase(ctx context.Context, f *fleet.Fleet, d fleet.Deployment, phase string) int {
	const count = 80
	all := load.Run(ctx, load.Workload{
		Clients: clients(f, d), Model: d.Model, Service: d.Service,
		RequestCount: count, Concurrency: 8, ResponseTokens: 12, Prefix: d.Region + " " + phase,
	})
	wrong := load.Incorrect(all)
	fmt.Printf("%s: phase %s: %d answers whole, %d not\n", d.Region, phase, count-len(wrong), len(wrong))
	fmt.Printf("  e.g. %.70q\n", all[0].Response.Text)
	for _, o := range wrong {
		fmt.Printf("  request %d: status %d code %d error %v\n", o.Number, o.Response.Status, o.Response.ResultCode, o.Err)
	}
	return len(wrong)
}

// clients returns a client for each organisation with the entries of the deployment as seeds.
func clients(f *fleet.Fleet, d fleet.Deployment) []*client.Client {
	var seeds []string
	for i := range d.Entries {
		seeds = append(seeds, f.EntryAddresses[fmt.Sprintf("%s-entry-%d", d.Region, i)])
	}
	return load.NewClients(organisations, seeds)
}

// printTimeline prints the events without a request and those of the last request.
func printTimeline(ctx context.Context, f *fleet.Fleet) error {
	var all []event.Event
	for _, a := range f.OperatorAddresses() {
		list, err := ctl.FetchEvents(ctx, a, fleet.OperatorToken)
		if err != nil {
			return err
		}
		all = append(all, list...)
	}
	ctl.SortEvents(all)
	last := ""
	for _, e := range all {
		if e.Request != "" {
			last = e.Request
		}
	}
	fmt.Printf("time line: %d events; shown are those of the fleet and of request %s\n", len(all), last)
	for _, e := range all {
		if e.Request == "" || e.Request == last {
			fmt.Println(ctl.FormatEvent(e))
		}
	}
	return nil
}
