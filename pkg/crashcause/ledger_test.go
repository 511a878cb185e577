package crashcause

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time this long after the start of a test.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// requestWith returns a request that no other equals, with these parts.
func requestWith(id int, parts ...string) Request {
	return Request{Fingerprint: fmt.Sprintf("f%d", id), Parts: parts}
}

// Requests with one part in common, no two alike, crash their upstreams; the other parts belong to
// requests that are sound and must not be rejected.
func TestPartThatCrashesUpstreamsIsConvicted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "shared", "other"), Whole, at(0))
	for i := range thresholdNeverAnswered.crashes {
		_, convicted := l.FindConviction(requestWith(100, "shared", "bad"), at(float64(i)))
		is.True(!convicted)
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "shared", "bad"), NotBegun, at(float64(i)))
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(50+i, "shared", fmt.Sprintf("new%d", i)), NotBegun, at(float64(i)))
	}
	found, convicted := l.FindConviction(requestWith(100, "shared", "bad"), at(3))
	is.True(convicted)
	is.Equal(found, Conviction("part-bad"))
	for _, part := range []string{"other", "new0", "unseen"} {
		_, convicted = l.FindConviction(requestWith(101, "shared", part), at(3))
		is.True(!convicted)
	}
}

// A part that is first in the prompt crashes upstreams; a sound part always follows it.
func TestSoundPartThatFollowsACrashingOneIsNotConvicted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "other", "sound"), Whole, at(0))
	for i := range thresholdNeverAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "bad", "sound"), NotBegun, at(float64(i)))
	}
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// A request that is sent again crashes each upstream; the parts that it shares are not at fault.
func TestRequestThatCrashesUpstreamsIsConvictedWithoutItsParts(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdNeverAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(1, "shared"), NotBegun, at(float64(i)))
	}
	_, convicted := l.FindConviction(requestWith(1, "shared"), at(3))
	is.True(convicted)
	_, convicted = l.FindConviction(requestWith(2, "shared"), at(3))
	is.True(!convicted)
	// Another request with the part shows that it was the part.
	l.RecordCrash("u9", requestWith(2, "shared"), NotBegun, at(9))
	is.Equal(l.Convictions(), []Conviction{"part-shared"})
}

// A sound part came only with the crashing one: sound requests with it were rejected, so that no answer
// could acquit it.
func TestSoundCompanionOfACrashingPartIsNotRejected(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdNeverAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "bad", "companion"), NotBegun, at(float64(i)))
	}
	_, convicted := l.FindConviction(requestWith(9, "bad", "companion"), at(3))
	is.True(convicted)
	_, convicted = l.FindConviction(requestWith(9, "companion"), at(3))
	is.True(!convicted)
	l.RecordAnswer(requestWith(9, "companion"), Whole, at(3))
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// A popular part that was answered before ran at more crashes than the crashing one: it was convicted, and
// its crashes counted for no other.
func TestAnsweredPartDoesNotOutrankACrashingOne(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "hot"), Whole, at(0))
	for i := range thresholdAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "hot"), NotBegun, at(float64(3*i)))
		if i >= thresholdAnswered.crashes-thresholdNeverAnswered.crashes {
			l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(20+i, "bad"), NotBegun, at(float64(3*i)))
		}
	}
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// Upstreams that fail together for a reason of their own convict nothing that they ran.
func TestUpstreamsThatFailTogetherConvictNothing(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "hot"), Whole, at(0))
	for i := range 20 {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "hot"), NotBegun, at(1+float64(i)/100))
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(100+i, "rare"), NotBegun, at(1+float64(i)/100))
	}
	is.Equal(len(l.Convictions()), 0)
	// Between two such failures requests with the part were answered.
	l.RecordAnswer(requestWith(50, "hot"), Whole, at(5))
	for i := range 20 {
		l.RecordCrash(fmt.Sprintf("v%d", i), requestWith(200+i, "hot"), NotBegun, at(10+float64(i)/100))
	}
	is.Equal(len(l.Convictions()), 0)
}

// Two parts that lie equally deep and ran at the same crashes are told apart by one more crash.
func TestPartsThatCannotBeToldApartNeedOneMoreCrash(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdNeverAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "bad"), NotBegun, at(float64(i)))
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(50+i, "chance"), NotBegun, at(float64(i)))
	}
	is.Equal(len(l.Convictions()), 0)
	l.RecordCrash("u9", requestWith(9, "bad"), NotBegun, at(9))
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// A new version of the upstreams cannot bear a part that was served before.
func TestPartThatWasAnsweredBeforeIsConvictedLater(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "old"), Whole, at(0))
	for i := range thresholdAnswered.crashes {
		is.Equal(len(l.Convictions()), 0)
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "old"), NotBegun, at(float64(1+2*i)))
	}
	is.Equal(l.Convictions(), []Conviction{"part-old"})
}

// Processes that saw different crashes reach the same verdict, in whatever order they hear of them; an
// answer that only one of them saw acquits.
func TestProcessesThatExchangeEvidenceAgree(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	b.RecordAnswer(requestWith(0, "sound"), Whole, at(0))
	a.RecordCrash("u0", requestWith(1, "bad", "sound"), NotBegun, at(1))
	b.RecordCrash("u1", requestWith(2, "bad", "sound"), NotBegun, at(2))
	a.RecordCrash("u2", requestWith(3, "bad", "sound"), NotBegun, at(3))
	is.Equal(len(a.Convictions()), 0)
	is.True(a.Merge(b.Evidence(at(4)), at(4)))
	is.True(b.Merge(a.Evidence(at(4)), at(4)))
	is.True(a.Merge(b.Evidence(at(4)), at(4)))
	is.True(!b.Merge(a.Evidence(at(4)), at(4)))
	is.Equal(a.Digest(), b.Digest())
	is.Equal(a.Convictions(), []Conviction{"part-bad"})
	is.Equal(b.Convictions(), []Conviction{"part-bad"})
}

// A process that restarts still rejects what was convicted before.
func TestRestoredConvictionsHold(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Restore([]Conviction{"part-bad"}, at(0))
	_, convicted := l.FindConviction(requestWith(1, "bad"), at(1))
	is.True(convicted)
	_, convicted = l.FindConviction(requestWith(1, "bad"), at(0).Add(EvidenceTTL))
	is.True(!convicted)
}

// Crashes of long ago must not convict for ever, and the ledger must not grow for ever.
func TestEvidenceExpiresAndIsLimited(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdNeverAnswered.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "bad"), NotBegun, at(float64(i)))
	}
	_, convicted := l.FindConviction(requestWith(9, "bad"), at(4).Add(EvidenceTTL))
	is.True(!convicted)
	many := make([]Request, 2*maxRequests)
	for i := range many {
		many[i] = requestWith(i, "x")
	}
	l.Merge([]Crash{{Upstream: "w", Suspects: Suspects{Requests: many}}}, at(4).Add(EvidenceTTL))
	is.Equal(len(l.crashes["w"].suspects[NotBegun].requests), maxRequests)
	for i := range 2 * maxCrashes {
		l.RecordCrash(fmt.Sprintf("v%d", i), requestWith(i, "x"), NotBegun, at(float64(5+i)).Add(EvidenceTTL))
	}
	is.Equal(len(l.crashes), maxCrashes)
}
