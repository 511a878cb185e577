package fairness

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.SetChecks(300) }

// queueModel is the reference model of a queue: the waiting items of each organisation in order.
type queueModel map[string][]Item

// drop removes the item at index at of its organisation, and fails the test if i is not there.
func (s queueModel) drop(t *rapid.T, i Item, at int) {
	list := s[i.Organisation]
	if len(list) == 0 || list[at].ID != i.ID {
		t.Fatalf("item %s of %s is out of order or unknown", i.ID, i.Organisation)
	}
	s[i.Organisation] = append(append([]Item(nil), list[:at]...), list[at+1:]...)
}

func (s queueModel) len() int {
	n := 0
	for _, l := range s {
		n += len(l)
	}
	return n
}

// maxWaiting returns the largest number of waiting items of one organisation.
func (s queueModel) maxWaiting() int {
	n := 0
	for _, l := range s {
		n = max(n, len(l))
	}
	return n
}

func TestQueueMatchesModel(t *testing.T) {
	const limit = 24
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{MaxItems: limit})
		model := queueModel{}
		nextID := 0
		for _, n := range rapid.SliceOfN(rapid.Uint16(), 300, 300).Draw(t, "actions") {
			organisation := int(n>>8) % 9
			switch n % 8 {
			case 0, 1, 2, 3:
				i := Item{ID: fmt.Sprint(nextID), Organisation: fmt.Sprint(organisation), Priority: organisation % 3, Cost: int64(n % 97)}
				nextID++
				model[i.Organisation] = append(model[i.Organisation], i)
				for _, o := range q.Push(i) {
					if len(model[o.Organisation]) < model.maxWaiting() {
						t.Fatalf("an item of %s was evicted although it has %d waiting items and another organisation has %d", o.Organisation, len(model[o.Organisation]), model.maxWaiting())
					}
					model.drop(t, o, len(model[o.Organisation])-1)
				}
			case 4, 5:
				peeked, _ := q.Peek()
				i, ok := q.Pop()
				if ok != (model.len() > 0) || i.ID != peeked.ID {
					t.Fatalf("Pop returned %v %v after Peek returned %v with %d items waiting", i, ok, peeked, model.len())
				}
				if ok {
					model.drop(t, i, 0)
				}
			case 6:
				if l := model[fmt.Sprint(organisation)]; len(l) > 0 {
					at := int(n) % len(l)
					if !q.Remove(l[at].ID) || q.Remove(l[at].ID) {
						t.Fatal("Remove did not remove the item exactly once")
					}
					model.drop(t, l[at], at)
				}
			case 7:
				q.Settle(fmt.Sprint(organisation), int64(n%50), int64(n%300))
			}
			if q.Len() != model.len() || q.Len() > limit {
				t.Fatalf("queue has %d items, model has %d", q.Len(), model.len())
			}
		}
	})
}

func TestSharesFollowWeightsAndActualCosts(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 1000})
	served := map[string]int64{}
	for n := range 200 {
		q.Push(Item{ID: fmt.Sprint("a", n), Organisation: "a", Weight: 1, Cost: 10})
		q.Push(Item{ID: fmt.Sprint("b", n), Organisation: "b", Weight: 3, Cost: 10})
	}
	for range 100 {
		i, _ := q.Pop()
		// The responses of organisation a cost three times as much as expected.
		actual := int64(10)
		if i.Organisation == "a" {
			actual = 30
		}
		q.Settle(i.Organisation, i.Cost, actual)
		served[i.Organisation] += actual
	}
	t.Log(served)
	is.True(served["b"] >= 3*served["a"]-60)
	is.True(served["b"] <= 3*served["a"]+60)
}

func TestLowPrioritiesAreNotStarved(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 3000})
	for n := range 1000 {
		q.Push(Item{ID: fmt.Sprint("low", n), Organisation: "low", Priority: 0, Cost: 10})
		q.Push(Item{ID: fmt.Sprint("high", n), Organisation: "high", Priority: 1, Cost: 10})
	}
	served := map[string]int{}
	for range 900 {
		i, _ := q.Pop()
		served[i.Organisation]++
	}
	is.Equal(served["high"], 900*PriorityFactor/(PriorityFactor+1))
	is.Equal(served["low"], 900/(PriorityFactor+1))
}

func TestSingleOrganisationMayFillTheQueue(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 100})
	for n := range 100 {
		is.Equal(len(q.Push(Item{ID: fmt.Sprint(n), Organisation: "only"})), 0)
	}
	for n := range 100 {
		i, ok := q.Pop()
		is.True(ok)
		is.Equal(i.ID, fmt.Sprint(n))
	}
}

func TestServiceReceivedAloneIsNotCharged(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 2000})
	for n := range 1000 {
		q.Push(Item{ID: fmt.Sprint("x", n), Organisation: "early", Cost: 100})
	}
	for range 900 {
		q.Pop()
	}
	for n := range 100 {
		q.Push(Item{ID: fmt.Sprint("y", n), Organisation: "late", Cost: 100})
	}
	early := 0
	for range 20 {
		if i, _ := q.Pop(); i.Organisation == "early" {
			early++
		}
	}
	is.Equal(early, 9) // half of the service each; "late" gets both the first and the last turn
}

func TestFullQueueEvictsTheOrganisationFurthestOverItsShare(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 256})
	for n := range 10_000 {
		q.Push(Item{ID: fmt.Sprint("d", n), Organisation: "dominant", Cost: 1})
	}
	is.Equal(q.Len(), 256)
	for n := range 100 {
		out := q.Push(Item{ID: fmt.Sprint("s", n), Organisation: fmt.Sprint("small", n), Cost: 1})
		is.Equal(len(out), 1)
		is.Equal(out[0].Organisation, "dominant")
	}
}

func TestMemoryIsBoundedWithAllOrganisations(t *testing.T) {
	is := is.New(t)
	const organisations = 3600
	q := New(Options{MaxItems: 256, MaxBytes: 1 << 20})
	for n := range 20 * organisations {
		q.Push(Item{ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % organisations), Cost: 10, Bytes: int64(n % 40_000)})
		is.True(q.bytes <= 1<<20)
		if n%3 == 0 {
			q.Pop()
		}
	}
	is.True(q.Len() <= 256)
	is.True(len(q.flows) <= maxIdleFlows+256+1)
	for n := range 20_000 {
		q.Push(Item{ID: fmt.Sprint("new", n), Organisation: fmt.Sprint("other", n)})
		q.Pop()
	}
	is.True(len(q.flows) <= maxIdleFlows+256+1)
}

func TestLowerLimitEvictsTheSurplus(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxItems: 64})
	for n := range 60 {
		q.Push(Item{ID: fmt.Sprint("d", n), Organisation: "dominant"})
	}
	q.Push(Item{ID: "s", Organisation: "small"})
	out := q.SetMaxItems(8)
	is.Equal(len(out), 53)
	for _, i := range out {
		is.Equal(i.Organisation, "dominant")
	}
	is.Equal(q.Len(), 8)
}

func BenchmarkPushPop(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000, 3600} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			q := New(Options{MaxItems: 4 * organisations})
			items := make([]Item, 2*organisations)
			for n := range items {
				items[n] = Item{ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % organisations), Cost: int64(1 + n%100)}
				q.Push(items[n])
			}
			b.ReportAllocs()
			for b.Loop() {
				i, _ := q.Pop()
				q.Settle(i.Organisation, i.Cost, i.Cost+1)
				q.Push(i)
			}
		})
	}
}
