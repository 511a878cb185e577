package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// In a large fleet only a few gateways, the relays, watch the store. The others learn from heartbeats whether there are
// changes, and read those from the neighbour that told them. A gateway that hears of no relay with a recent
// answer of the store watches the store itself, whoever is a relay.

const (
	// maxWatchingGateways is the number of gateways up to which all of them watch the store.
	maxWatchingGateways = 16
	// relayCount is the number of relays of a larger fleet.
	relayCount = 4
	// relayWatchWait is how long the store may hold a watch of a relay without a change; a gateway of a smaller fleet
	// waits for platform.WatchWait. What the others know is as old as the newest answer to a relay.
	relayWatchWait = time.Second
	// confirmationTTL is how long a gateway relies on an answer of the store to a relay. Each doubling of the fleet
	// beyond fleetOfConfirmationTTL takes a heartbeat more from the relays, and adds confirmationTTLStep.
	confirmationTTL        = 2 * time.Second
	fleetOfConfirmationTTL = 64
	confirmationTTLStep    = heartbeatInterval
	// minWatchPause is the shortest time between two watches of a kind: changes that come together are read
	// together.
	minWatchPause = 100 * time.Millisecond
	// feedCheckInterval is the time between two looks whether a gateway has to watch the store.
	feedCheckInterval = 100 * time.Millisecond
	// answerCheckInterval is the time between two looks whether the store has answered again.
	answerCheckInterval = 25 * time.Millisecond
	// lostRetryDelay is the time between two calls of a gateway that is no relay to a store that does not
	// respond, for the first kind; the other kinds are tried at once when the store has answered this gateway
	// or a relay, and otherwise after otherKindsRetryDelay.
	lostRetryDelay       = 1500 * time.Millisecond
	otherKindsRetryDelay = 6 * time.Second
	// watcherRetryDelay is the same for the other kinds of a gateway that watches the store whatever its peers do.
	watcherRetryDelay = 1500 * time.Millisecond
	// firstWatchDelay is the time from the first answer of the store to the first watch of a gateway that knows no other
	// one. In it the gateway finds the others: most need no watch then.
	firstWatchDelay = 500 * time.Millisecond
)

// storeFeed keeps a gateway up to date with the store, together with its peers. It is safe for concurrent use.
type storeFeed struct {
	store *platform.Store
	// kinds are in the order of the reports of heartbeats.
	kinds []*kindFeed
	// onChange is called when there is something to tell the peers.
	onChange func()

	mu sync.Mutex
	// gateways is the number of gateways, and isRelay is set if this one is a relay.
	gateways int
	isRelay  bool
}

// kindFeed is what a gateway knows of one kind of objects.
type kindFeed struct {
	kind   string
	cursor *platform.Cursor

	mu sync.Mutex
	// confirmedAt is when the store last answered this gateway, and peerConfirmedAt when it last answered another
	// one whose state this gateway has.
	confirmedAt     time.Time
	peerConfirmedAt time.Time
	// readNow is set if there are changes to read from the store.
	readNow bool
	// pulling is set while changes are read from a peer.
	pulling bool
}

// FeedReport is what a heartbeat tells of a kind: the era and the revision up to which the sender has read, the
// revision after which there were no changes up to it, and the age of the store's answer in milliseconds.
type FeedReport [4]int64

func newStoreFeed() *storeFeed { return &storeFeed{onChange: func() {}, gateways: 1} }

// start follows the store until ctx ends.
func (f *storeFeed) start(ctx context.Context, s *platform.Store, followers map[string]platform.Follower) {
	f.mu.Lock()
	f.store = s
	for _, kind := range slices.Sorted(maps.Keys(followers)) {
		f.kinds = append(f.kinds, &kindFeed{kind: kind, cursor: s.NewCursor(kind, followers[kind])})
	}
	kinds := f.kinds
	f.mu.Unlock()
	for _, k := range kinds {
		go f.run(ctx, k)
	}
}

// SetGateways sets the gateways that run, among which relays are chosen.
func (f *storeFeed) SetGateways(self string, gateways []roster.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = len(gateways)
	f.isRelay = slices.Contains(chooseRelays(gateways), self)
}

// chooseRelays returns the names of the relays among gateways, of as many zones as possible.
func chooseRelays(gateways []roster.Entry) []string {
	score := func(name string) uint64 { return xxhash.Sum64String("relay\x00" + name) }
	ordered := slices.Clone(gateways)
	slices.SortFunc(ordered, func(a, b roster.Entry) int {
		if score(a.Name) < score(b.Name) {
			return -1
		}
		return 1
	})
	var relays []string
	perZone := map[string]int{}
	for most := 0; len(relays) < min(relayCount, len(ordered)); most++ {
		for _, g := range ordered {
			if len(relays) < relayCount && perZone[g.Zone] == most && !slices.Contains(relays, g.Name) {
				relays = append(relays, g.Name)
				perZone[g.Zone]++
			}
		}
	}
	return relays
}

// watches reports whether this gateway watches the store whatever its peers do, and for how long.
func (f *storeFeed) watches() (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gateways <= maxWatchingGateways {
		return true, platform.WatchWait
	}
	return f.isRelay, relayWatchWait
}

// confirmationTTL returns how long this gateway relies on an answer of the store to a relay.
func (f *storeFeed) confirmationTTL() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	ttl := confirmationTTL
	for n := fleetOfConfirmationTTL; n < f.gateways; n *= 2 {
		ttl += confirmationTTLStep
	}
	return ttl
}

// run follows one kind until ctx ends.
func (f *storeFeed) run(ctx context.Context, k *kindFeed) {
	for ctx.Err() == nil {
		watches, wait := f.watches()
		if !watches && !k.needsStore(f.confirmationTTL(), time.Now()) {
			sleep(ctx, feedCheckInterval)
			continue
		}
		position, before := k.cursor.Position()
		if k.takeReadNow() {
			wait = 0
		}
		succeeded := k.cursor.Advance(ctx, wait)
		if succeeded {
			k.confirm(time.Now())
		}
		if _, after := k.cursor.Position(); after != before {
			f.onChange()
		}
		switch {
		case !succeeded:
			f.waitForAnswer(ctx, k, watches)
		case position.Revision < 0 && f.isAlone():
			sleep(ctx, firstWatchDelay)
		default:
			sleep(ctx, minWatchPause)
		}
	}
}

// needsStore reports whether a gateway that is no relay has to call the store: it has read nothing, has to read large
// changes, or hears of no recent answer of the store.
func (k *kindFeed) needsStore(ttl time.Duration, now time.Time) bool {
	position, _ := k.cursor.Position()
	k.mu.Lock()
	defer k.mu.Unlock()
	return position.Revision < 0 || k.readNow || k.cursor.IsLost() || now.Sub(k.peerConfirmedAt) > ttl
}

func (k *kindFeed) takeReadNow() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.readNow
	k.readNow = false
	return taken
}

func (k *kindFeed) confirm(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = at
}

// isAlone reports whether this gateway knows no other one.
func (f *storeFeed) isAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways <= 1
}

// waitForAnswer waits until the store has answered this gateway or a relay, or until it is time to try again. The first
// kind of a gateway that watches the store is tried again at once.
func (f *storeFeed) waitForAnswer(ctx context.Context, k *kindFeed, watches bool) {
	first := f.kinds[0]
	limit := otherKindsRetryDelay
	switch {
	case k == first && watches:
		return
	case k == first:
		limit = lostRetryDelay
	case watches:
		limit = watcherRetryDelay
	}
	begun := time.Now()
	for ctx.Err() == nil && time.Since(begun) < limit && !first.answeredSince(begun) && !k.answeredSince(begun) {
		sleep(ctx, answerCheckInterval)
	}
}

// answeredSince reports whether the store has answered this gateway or a relay since a time.
func (k *kindFeed) answeredSince(at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt.After(at) || k.peerConfirmedAt.After(at)
}

// reports returns what a heartbeat tells.
func (f *storeFeed) reports(now time.Time) []FeedReport {
	f.mu.Lock()
	kinds := f.kinds
	f.mu.Unlock()
	out := make([]FeedReport, len(kinds))
	for i, k := range kinds {
		p, changedAt := k.cursor.Position()
		k.mu.Lock()
		confirmedAt := k.confirmedAt
		if k.peerConfirmedAt.After(confirmedAt) {
			confirmedAt = k.peerConfirmedAt
		}
		k.mu.Unlock()
		out[i] = FeedReport{p.Era, p.Revision, changedAt, now.Sub(confirmedAt).Milliseconds()}
	}
	return out
}

// handleReports compares the reports of a peer with what is known here. It returns the kinds of which the peer
// has changes that are missing here.
func (f *storeFeed) handleReports(reports []FeedReport, now time.Time) []*kindFeed {
	f.mu.Lock()
	kinds := f.kinds
	f.mu.Unlock()
	if len(reports) != len(kinds) {
		return nil // the peer has not begun or follows other kinds
	}
	ttl := f.confirmationTTL()
	var missing []*kindFeed
	for i, k := range kinds {
		r := reports[i]
		age := time.Duration(max(0, r[3])) * time.Millisecond
		peerAt := platform.Position{Era: r[0], Revision: r[1]}
		if r[1] < 0 || age > ttl {
			continue
		}
		own, _ := k.cursor.Position()
		switch {
		case k.cursor.Confirm(peerAt, r[2]):
			k.confirmByPeer(now.Add(-age))
		case own.Revision >= 0 && (peerAt.Era > own.Era || peerAt.Era == own.Era && r[2] > own.Revision):
			missing = append(missing, k)
		}
	}
	return missing
}

func (k *kindFeed) confirmByPeer(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.peerConfirmedAt) {
		k.peerConfirmedAt = at
	}
}
