package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/agent"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/controller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/entry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// Deployment describes what one provider runs in a region.
type Deployment struct {
	Region string
	// Zones are the availability zones of the region.
	Zones []string
	// Entries is the number of entries. Instances are assigned to the zones in turn.
	Entries int
	// Model is the name of the model, which Workers model engines serve.
	Model        string
	ModelWorkers int
	// Service is the name of the service, which ServiceWorkers plain services serve.
	Service        string
	ServiceWorkers int
}

// Options configure a fleet.
type Options struct {
	// BinDir is the directory of the binaries of this project.
	BinDir string
	// WorkDir is the directory for settings and logs.
	WorkDir       string
	Deployments   []Deployment
	Organisations []string
	// EngineArgs are further arguments of the model engine stand-ins.
	EngineArgs []string
	// ServiceArgs are further arguments of the plain service stand-ins.
	ServiceArgs []string
	// AgentColdLimit is the cold limit of the agents; 0 means the default of their settings.
	AgentColdLimit int
	// Limits are those of the first configuration; the zero value means the defaults with a
	// directory TTL of 1 s.
	Limits configuration.Limits
}

// OperatorToken is the operators' bearer token of all processes of a fleet.
const OperatorToken = "operator-token"

// ProcessToken is the bearer token of the calls between the processes of a fleet.
const ProcessToken = "process-token"

// BearerToken returns the bearer token of an organisation.
func BearerToken(organisation string) string { return "token-" + organisation }

// Fleet is a set of running processes. It is not safe for concurrent use.
type Fleet struct {
	// Processes maps the name of a process to the process.
	Processes map[string]*Process
	// StandinURLs maps the name of an agent to the base URL of its stand-in.
	StandinURLs map[string]string
	// Platform and Store access the platform stand-in and the configuration stored there.
	Platform *platform.Client
	Store    *configstore.Store
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// EntryAddresses maps the name of an entry to its address for callers.
	EntryAddresses map[string]string
	// PlatformLinks maps the name of an entry to the relay between it and the platform.
	PlatformLinks map[string]*Relay
	// AgentZones maps the name of an agent to its availability zone.
	AgentZones map[string]string

	opts Options
	// startOrder are the names of the processes in the order of their creation.
	startOrder []string
}

// platformCallsPerSecond limits the rate of the fleet's own calls to the platform.
const platformCallsPerSecond = 10_000

// startTimeout limits the time to start a fleet.
const startTimeout = 30 * time.Second

// Start starts all processes and waits until the agents, entries and controllers are ready and
// every entry reaches every upstream. On an error no process keeps running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f := &Fleet{opts: o, Processes: map[string]*Process{}, StandinURLs: map[string]string{}, EntryAddresses: map[string]string{}, PlatformLinks: map[string]*Relay{}, AgentZones: map[string]string{}}
	err := f.startAll(ctx)
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if _, err := f.Store.Apply(ctx, f.initialConfiguration()); err != nil {
		return err
	}
	for _, d := range f.opts.Deployments {
		if err := f.startDeployment(ctx, d); err != nil {
			return err
		}
	}
	for _, name := range f.startOrder {
		p := f.Processes[name]
		if p.OperatorAddress == "" {
			continue
		}
		if err := p.waitReady(ctx); err != nil {
			return errors.Join(err, errors.New(p.Log()))
		}
	}
	return f.waitUpstreamsReachable(ctx)
}

// waitUpstreamsReachable waits until every entry can reach every upstream. The readiness of an
// entry does not imply this, as an upstream may start to respond after its agent.
func (f *Fleet) waitUpstreamsReachable(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for name := range f.EntryAddresses {
		for {
			n, _, err := ReadMetric(f.Processes[name].OperatorAddress, "coltsfoot_upstreams_reachable")
			if err == nil && int(n) >= len(f.StandinURLs) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("entry %s reaches %v of %d upstreams", name, n, len(f.StandinURLs)), err)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// startPlatform starts the platform stand-in and waits until it responds.
func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + address
	f.Platform = platform.New(platform.Options{URL: f.PlatformURL, Rate: platformCallsPerSecond, Burst: platformCallsPerSecond})
	f.Store = configstore.New(f.Platform)
	p := f.newProcess("platform", "coltsfoot-standin", "", "platform", "--address", address)
	if err := p.start(); err != nil {
		return err
	}
	return waitHTTP(ctx, f.PlatformURL+"/counts")
}

// initialConfiguration returns the first configuration, with all zones in service.
func (f *Fleet) initialConfiguration() *configuration.Document {
	d := &configuration.Document{Limits: f.opts.Limits}
	if d.Limits == (configuration.Limits{}) {
		d.Limits = configuration.DefaultLimits()
		d.Limits.DirectoryTTLSeconds = 1
	}
	for _, dep := range f.opts.Deployments {
		for _, z := range dep.Zones {
			d.Zones = append(d.Zones, configuration.Zone{Name: z, Region: dep.Region, State: configuration.ZoneIn})
		}
		d.Models = append(d.Models, configuration.Model{Name: dep.Model})
		d.Services = append(d.Services, configuration.Service{Name: dep.Service})
	}
	for _, o := range f.opts.Organisations {
		sum := sha256.Sum256([]byte(BearerToken(o)))
		d.Organisations = append(d.Organisations, configuration.Organisation{
			Name: o, KeySHA256: hex.EncodeToString(sum[:]), Weight: 1,
		})
	}
	return d
}

// startDeployment starts the upstreams, agents, entries and controllers of a deployment.
func (f *Fleet) startDeployment(ctx context.Context, d Deployment) error {
	for i := range d.ModelWorkers {
		name := fmt.Sprintf("%s-%d", d.Model, i)
		args := append([]string{"model-engine", "--model", d.Model}, f.opts.EngineArgs...)
		if err := f.startUpstream(ctx, name, d, i, agent.ModelEngine, args); err != nil {
			return err
		}
	}
	for i := range d.ServiceWorkers {
		name := fmt.Sprintf("%s-%d", d.Service, i)
		args := append([]string{"plain-service", "--service", d.Service}, f.opts.ServiceArgs...)
		if err := f.startUpstream(ctx, name, d, i, agent.PlainService, args); err != nil {
			return err
		}
	}
	for i := range d.Entries {
		if err := f.startEntry(ctx, fmt.Sprintf("%s-entry-%d", d.Region, i), d, i); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts an upstream stand-in with its agent and adds the instance to the instance
// list. index selects the zone.
func (f *Fleet) startUpstream(ctx context.Context, name string, d Deployment, index int, kind agent.UpstreamKind, args []string) error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	f.StandinURLs[name] = "http://" + addresses[0]
	standin := f.newProcess(name+"-upstream", "coltsfoot-standin", "", append(args, "--address", addresses[0])...)
	if err := standin.start(); err != nil {
		return err
	}
	s := agent.DefaultSettings()
	s.Common = f.commonSettings(name, d, index, addresses[1])
	f.AgentZones[name] = s.Zone
	s.ControlAddress = addresses[2]
	s.WorkAddress = addresses[3]
	s.ProbeMillis = 50
	s.Upstream.Kind = kind
	if f.opts.AgentColdLimit != 0 {
		s.Upstream.ColdLimit = f.opts.AgentColdLimit
	}
	s.Upstream.URL = f.StandinURLs[name]
	if err := f.startWithSettings(name, "coltsfoot-agent", s.OperatorAddress, s); err != nil {
		return err
	}
	return f.putInstance(ctx, instancelist.Instance{
		ID: name, Role: instancelist.RoleUpstream, Zone: s.Zone, Region: s.Region, State: instancelist.StateLive, ControlAddress: s.ControlAddress,
	})
}

// startEntry starts an entry and a controller on one instance and adds it to the instance list.
// index selects the zone. Only the entry reaches the platform through a relay.
func (f *Fleet) startEntry(ctx context.Context, name string, d Deployment, index int) error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	s := entry.DefaultSettings()
	s.Common = f.commonSettings(name, d, index, addresses[0])
	s.CallerAddress = addresses[1]
	s.ControlAddress = addresses[2]
	link, err := newRelay(strings.TrimPrefix(f.PlatformURL, "http://"))
	if err != nil {
		return err
	}
	f.PlatformLinks[name] = link
	s.PlatformURL = "http://" + link.address
	s.StatusMillis = 200
	f.EntryAddresses[name] = s.CallerAddress
	if err := f.startWithSettings(name, "coltsfoot-entry", s.OperatorAddress, s); err != nil {
		return err
	}
	c := controller.DefaultSettings()
	c.Common = f.commonSettings(name+"-controller", d, index, addresses[3])
	c.PlatformURL = f.PlatformURL
	if err := f.startWithSettings(c.Name, "coltsfoot-controller", c.OperatorAddress, c); err != nil {
		return err
	}
	return f.putInstance(ctx, instancelist.Instance{
		ID: name, Role: instancelist.RoleEntry, Zone: s.Zone, Region: s.Region, State: instancelist.StateLive,
		Address: s.CallerAddress, ControlAddress: s.ControlAddress,
	})
}

// freeAddresses returns n different addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

// commonSettings returns the settings that all processes share. index selects the zone.
func (f *Fleet) commonSettings(name string, d Deployment, index int, operatorAddress string) process.Common {
	c := process.DefaultCommon()
	c.Name = name
	c.Region = d.Region
	c.Zone = d.Zones[index%len(d.Zones)]
	c.OperatorAddress = operatorAddress
	c.OperatorToken = OperatorToken
	c.Credentials.Token = ProcessToken
	return c
}

// startWithSettings writes the settings file of a process and starts the process.
func (f *Fleet) startWithSettings(name, binary, operatorAddress string, settings any) error {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.opts.WorkDir, name+".yaml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return err
	}
	return f.newProcess(name, binary, operatorAddress, "--settings", file).start()
}

// putInstance creates or replaces an instance in the instance list.
func (f *Fleet) putInstance(ctx context.Context, i instancelist.Instance) error {
	o, err := f.Platform.Get(ctx, instancelist.Kind, i.ID)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = f.Platform.Put(ctx, instancelist.Kind, i.ID, o.Revision, i)
	return err
}

// SetZone applies a configuration that differs in the state of a zone and returns its version.
func (f *Fleet) SetZone(ctx context.Context, zone string, state configuration.ZoneState) (int64, error) {
	d, _, err := f.Store.Load(ctx)
	if err != nil {
		return 0, err
	}
	for i := range d.Zones {
		if d.Zones[i].Name == zone {
			d.Zones[i].State = state
		}
	}
	return f.Store.Apply(ctx, d)
}

// Stop requests a planned stop of a process by SIGTERM and does not wait for its end.
func (f *Fleet) Stop(name string) error { return f.Processes[name].Signal(syscall.SIGTERM) }

// Kill sends SIGKILL to a process and does not wait for its end.
func (f *Fleet) Kill(name string) error {
	p := f.Processes[name]
	p.killed.Store(true)
	return p.Signal(syscall.SIGKILL)
}

// Restart starts a process that has ended, with the same arguments and settings.
func (f *Fleet) Restart(name string) error { return f.Processes[name].start() }

// OperatorAddresses returns the operators' addresses of all running processes in the order of
// their creation. A process that was killed is left out also while the system has not ended it yet.
func (f *Fleet) OperatorAddresses() []string {
	var out []string
	for _, name := range f.startOrder {
		p := f.Processes[name]
		if p.OperatorAddress != "" && !p.Ended() && !p.killed.Load() {
			out = append(out, p.OperatorAddress)
		}
	}
	return out
}

// Close closes the links, kills all processes and waits for their ends.
func (f *Fleet) Close() {
	for _, l := range f.PlatformLinks {
		l.close()
	}
	for _, p := range f.Processes {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// SetInstanceState sets the state of an instance in the instance list; the state "gone" removes it.
func (f *Fleet) SetInstanceState(ctx context.Context, name, state string) error {
	o, err := f.Platform.Get(ctx, instancelist.Kind, name)
	if err != nil {
		return err
	}
	if state == "gone" {
		return f.Platform.Delete(ctx, instancelist.Kind, name, o.Revision)
	}
	var i instancelist.Instance
	if err := json.Unmarshal(o.Value, &i); err != nil {
		return err
	}
	i.State = instancelist.State(state)
	_, err = f.Platform.Put(ctx, instancelist.Kind, name, o.Revision, i)
	return err
}
