package gateway

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
)

// directoryLag is the time after which directories must not name a gateway that was killed.
const directoryLag = 6 * time.Second

// herd_kill: more than half of the gateways end at the same moment, with most of those that send heartbeats to
// each other. The directories of the others went on naming them.
func TestKilledGatewaysLeaveTheDirectories(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleet(40, true)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		for i := range 22 {
			f.kill(memoryName(i))
		}
		time.Sleep(directoryLag)
		is.True(f.knownEverywhere(18))
	})
}

// Gateways that start together know only the first, by their settings. Some never learned of others.
func TestGatewaysThatStartTogetherFindEachOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleet(40, false)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		is.True(f.knownEverywhere(40))
	})
}

// roll_term: a gateway that stops must leave the directories while it still accepts connections.
func TestStoppingGatewayLeavesTheDirectoriesAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleet(40, true)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		p := f.network.peers[memoryName(7)]
		p.gateway.beginStop(time.Now(), time.Now().Add(time.Minute))
		p.tellNeighbours(t.Context())
		time.Sleep(drainDelay / 4)
		is.True(f.knownEverywhere(39))
	})
}

// zone_cut, one_way: both parts of a divided network take the other for dead and must find each other again.
func TestPartsOfADividedNetworkFindEachOtherAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleet(40, true)
		defer f.stopAll()
		time.Sleep(3 * time.Second)
		for i := range 13 {
			f.setSide(memoryName(i), 1)
		}
		time.Sleep(directoryLag)
		is.Equal(len(f.network.peers[memoryName(0)].callerAddresses("region")), 13)
		is.Equal(len(f.network.peers[memoryName(20)].callerAddresses("region")), 27)
		// Those of the other part may still serve callers and take from shared limits.
		is.Equal(f.network.peers[memoryName(20)].limitView(time.Now()).Known, 40)
		time.Sleep(2 * directoryLag)
		for i := range 13 {
			f.setSide(memoryName(i), 0)
		}
		time.Sleep(directoryLag)
		is.True(f.knownEverywhere(40))
	})
}

var (
	membershipSeed  = flag.Uint64("membership.seed", 1, "seed of the first fleet under random failures")
	membershipSeeds = flag.Int("membership.seeds", 3, "number of fleets under random failures")
)

// Gateways end, start, stop and are cut off in any order. Once that is over, all directories must name those that
// run and no others.
func TestDirectoriesAgreeAfterRandomFailures(t *testing.T) {
	for seed := *membershipSeed; seed < *membershipSeed+uint64(*membershipSeeds); seed++ {
		bubble.Test(t, func(t *testing.T) {
			const gateways, events = 24, 60
			random := rand.New(rand.NewPCG(seed, 0))
			f := startMemoryFleet(gateways, false)
			defer f.stopAll()
			for range events {
				f.disturb(memoryName(random.IntN(gateways)), random.IntN(4))
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
			for i := range gateways {
				f.setSide(memoryName(i), 0)
			}
			time.Sleep(2 * directoryLag)
			if running := len(f.network.peers); !f.knownEverywhere(running) {
				t.Errorf("seed %d: directories differ from the %d gateways that run", seed, running)
			}
		})
	}
}

// disturb makes one of four events happen to a gateway.
func (f *memoryFleet) disturb(name string, event int) {
	runs := f.network.peers[name] != nil
	switch {
	case event == 0 && runs:
		f.setSide(name, 1)
	case event == 1 && runs:
		f.setSide(name, 0)
	case runs:
		f.kill(name)
	default:
		f.add(name, false)
		f.run(name)
	}
}
