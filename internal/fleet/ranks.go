package fleet

import (
	"context"
	"fmt"
	"strconv"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/controller"
)

// GroupName is the name of the rank group that StartRankGroup starts.
const GroupName = "intake"

// controllerCount is the number of controllers that StartRankGroup starts.
const controllerCount = 2

// replicasPerSecond is the bandwidth of the weight store in replicas per second, as each
// expert has the size of 1 byte.
const replicasPerSecond = 16

// StartRankGroup starts a platform stand-in, a rank group of the given number of ranks and two
// controllers. Fleet.Upstreams maps the name of each rank to the base URL of its computed steps.
func StartRankGroup(ctx context.Context, o Options, ranks int) (*Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f := &Fleet{opts: o, Processes: map[string]*Process{}, StandinURLs: map[string]string{}, EntryAddresses: map[string]string{}}
	if err := f.startRanks(ctx, ranks); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startRanks(ctx context.Context, ranks int) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	peers, err := freeAddresses(ranks)
	if err != nil {
		return err
	}
	for i := range ranks {
		if err := f.startRank(ctx, i, peers); err != nil {
			return err
		}
	}
	for i := range controllerCount {
		if err := f.startGroupController(ctx, i, peers); err != nil {
			return err
		}
	}
	return nil
}

// startRank starts a rank stand-in; peers are the control addresses of all ranks by index.
func (f *Fleet) startRank(ctx context.Context, index int, peers []string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	args := []string{
		"rank", "--group", GroupName, "--index", strconv.Itoa(index), "--platform", f.PlatformURL,
		"--token", ProcessToken, "--address", address,
	}
	for _, p := range peers {
		args = append(args, "--peer", p)
	}
	name := fmt.Sprintf("rank-%d", index)
	f.StandinURLs[name] = "http://" + address
	if err := f.newProcess(name, "coltsfoot-standin", "", append(args, f.opts.EngineArgs...)...).start(); err != nil {
		return err
	}
	return waitHTTP(ctx, f.StandinURLs[name]+"/steps")
}

// startGroupController starts a controller of the rank group and waits until it is ready.
func (f *Fleet) startGroupController(ctx context.Context, index int, peers []string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s := controller.DefaultSettings()
	s.Common = f.commonSettings(fmt.Sprintf("controller-%d", index), Deployment{Region: "trondelag", Zones: []string{"gate-north"}}, 0, address)
	s.PlatformURL = f.PlatformURL
	s.LeaseMillis = 1_000
	s.TickMillis = 50
	s.PlanMillis = 200
	s.LostMillis = 3_000
	s.WeightStore = controller.WeightStoreSettings{BytesPerSecond: replicasPerSecond, ExpertBytes: 1}
	s.Groups = []controller.GroupSettings{{Name: GroupName, Ranks: peers, SpareSlots: 1}}
	if err := f.startWithSettings(s.Name, "coltsfoot-controller", address, s); err != nil {
		return err
	}
	return waitHTTP(ctx, "http://"+address+"/readyz")
}
