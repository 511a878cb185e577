package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/plain"
)

func init() {
	commands["book"] = startBookings
	commands["booked"] = checkBookings
	commands["claimcalls"] = checkClaimCalls
}

// booking is one service call that may run only once. It is sent to several entries concurrently
// and resent until a response reports that it is done.
type booking struct {
	key         string
	submissions []submission
}

// submission is one HTTP request of a booking and its result. run identifies the run at the
// service, or is 0 without a complete response.
type submission struct {
	request string
	code    code.Code
	run     int
}

// bookingSet holds the bookings of one book command; done is closed when all have ended.
type bookingSet struct {
	done chan struct{}
	list []*booking
}

var (
	bookingsMu sync.Mutex
	// bookingsByFleet holds the bookings of all scripts by fleet and name.
	bookingsByFleet = map[*fleet.Fleet]map[string]*bookingSet{}
)

const maxBookingTries = 8

// startBookings: book NAME KEYS COPIES PARALLEL starts KEYS calls with an idempotency key each,
// sent to COPIES entries concurrently; with COPIES 0 the calls have no key and are sent once.
func startBookings(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	keys, copies := parseNumber(ts, args[1]), parseNumber(ts, args[2])
	b := &bookingSet{done: make(chan struct{}), list: make([]*booking, keys)}
	bookingsMu.Lock()
	if bookingsByFleet[f] == nil {
		bookingsByFleet[f] = map[string]*bookingSet{}
	}
	bookingsByFleet[f][args[0]] = b
	bookingsMu.Unlock()
	var entries []string
	for _, a := range f.EntryAddresses {
		entries = append(entries, a)
	}
	callNumbers := make(chan int)
	var senders sync.WaitGroup
	for range parseNumber(ts, args[3]) {
		senders.Go(func() {
			for n := range callNumbers {
				b.list[n] = sendBooking(args[0], n, copies, entries)
			}
		})
	}
	go func() {
		for n := range keys {
			callNumbers <- n
		}
		close(callNumbers)
		senders.Wait()
		close(b.done)
	}()
}

func sendBooking(name string, n, copies int, entries []string) *booking {
	if copies == 0 {
		b := &booking{}
		b.submissions = []submission{submitBooking(name, "", n, 0, entries[n%len(entries)])}
		return b
	}
	b := &booking{key: fmt.Sprintf("%s-%d", name, n)}
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range copies {
		group.Go(func() {
			for try := range maxBookingTries {
				s := submitBooking(name, b.key, n, c*maxBookingTries+try, entries[(n+c+try)%len(entries)])
				mu.Lock()
				b.submissions = append(b.submissions, s)
				mu.Unlock()
				if s.code.Outcome() == code.Done {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return b
}

// submitBooking sends one call. A code of 0 means that the connection failed.
func submitBooking(name, key string, n, serial int, entry string) submission {
	s := submission{request: fmt.Sprintf("%s-%d-%d", name, n, serial)}
	headers := map[string]string{"X-Request-Id": s.request, "X-Timeout-Ms": "8000"}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	c := client.New(fleet.BearerToken(organisations[n%len(organisations)]), nil)
	a, err := c.DoAt(ctx, entry, client.Request{
		Method: http.MethodPost, Path: fmt.Sprintf("/services/weighbridge-app/book/%d", n), Body: []byte(name), Headers: headers,
	})
	if err != nil {
		return s
	}
	s.code = code.Code(a.ResultCode)
	var got plain.Response
	if a.Complete && json.Unmarshal([]byte(a.Text), &got) == nil {
		s.run = got.RunNumber
	}
	return s
}

// checkBookings: booked NAME DONE-AT-LEAST waits for a book command and compares its results with
// the ledgers of the services: no key and no request ran twice, no request that was reported as
// "not run" ran, and all copies of a key received the response of its only run.
func checkBookings(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	bookingsMu.Lock()
	b := bookingsByFleet[f][args[0]]
	bookingsMu.Unlock()
	<-b.done
	ledger := sumServiceLedgers(ts, f)
	done, runs := 0, 0
	codes := map[code.Code]int{}
	for _, one := range b.list {
		if checkBooking(ts, one, ledger, codes) {
			done++
		}
		runs += min(ledger.ByKey[one.key], 1)
	}
	ts.Logf("%s: %d of %d done, %d keys ran, results %v", args[0], done, len(b.list), runs, codes)
	if done < parseNumber(ts, args[1]) {
		ts.Fatalf("%d bookings are done, want at least %s", done, args[1])
	}
}

func checkBooking(ts *testscript.TestScript, b *booking, ledger plain.Ledger, codes map[code.Code]int) bool {
	if b.key != "" && ledger.ByKey[b.key] > 1 {
		ts.Fatalf("key %s ran %d times", b.key, ledger.ByKey[b.key])
	}
	run := 0
	for _, s := range b.submissions {
		codes[s.code]++
		ran := ledger.ByRequest[s.request]
		if ran > 1 {
			ts.Fatalf("request %s ran %d times", s.request, ran)
		}
		if ran > 0 && s.code.Outcome() == code.NotRun && s.code != 0 {
			ts.Fatalf("request %s ran but its result was %v", s.request, s.code)
		}
		if s.code.Outcome() != code.Done {
			continue
		}
		if run != 0 && s.run != run {
			ts.Fatalf("key %s received the responses of runs %d and %d", b.key, run, s.run)
		}
		run = s.run
	}
	return run != 0
}

// sumServiceLedgers returns the sum of the ledgers of all service stand-ins.
func sumServiceLedgers(ts *testscript.TestScript, f *fleet.Fleet) plain.Ledger {
	list, err := fleet.ReadLedgers[plain.Ledger](f, "weighbridge-app")
	ts.Check(err)
	sum := plain.Ledger{ByRequest: map[string]int{}, ByKey: map[string]int{}}
	for _, l := range list {
		addCounts(sum.ByRequest, l.ByRequest)
		addCounts(sum.ByKey, l.ByKey)
	}
	return sum
}

// checkClaimCalls: claimcalls KEYS sends calls with idempotency keys sequentially, to the entries
// in turn, and checks that each costs two writes to the platform and that all together cost at
// most two reads for each partition of the claims.
func checkClaimCalls(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	entries := f.SortedEntryAddresses()
	keys := parseNumber(ts, args[0])
	waitForWrites := func(writes int) int {
		for n := 0; ; n++ {
			now := metricSum(ts, f, "coltsfoot_claim_platform_writes")
			if now >= writes || n > 100 {
				return now
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for n := range keys {
		if s := submitBooking("calls", fmt.Sprintf("calls-%d", n), n, 0, entries[n%len(entries)]); s.code != code.OK {
			ts.Fatalf("call %d ended with %v", n, s.code)
		}
	}
	writes := waitForWrites(2 * keys)
	reads := metricSum(ts, f, "coltsfoot_claim_platform_reads")
	ts.Logf("%d keyed calls: %d writes, %d reads", keys, writes, reads)
	if writes > 2*keys || reads > 2*idempotency.PartitionCount {
		ts.Fatalf("%d writes and %d reads for %d keys", writes, reads, keys)
	}
}

// metricSum returns the sum of a metric over all processes.
func metricSum(ts *testscript.TestScript, f *fleet.Fleet, name string) int {
	sum, err := f.SumMetric(name)
	ts.Check(err)
	return int(sum)
}
