package crashcause

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A request crashed each upstream after the first event of its answer, which counted as an answer and cleared it.
func TestRequestThatCrashesAfterItsAnswerBeganIsConvicted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordAnswer(requestWith(0, "shared"), Whole, at(0))
	for i := range thresholdNeverAnswered.crashes {
		l.RecordAnswer(requestWith(1, "shared"), Begun, at(float64(1+2*i)))
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(1, "shared"), Begun, at(float64(2+2*i)))
		l.RecordAnswer(requestWith(50+i, "shared"), Begun, at(float64(2+2*i)+0.5))
	}
	is.Equal(l.Convictions(), []Conviction{"request-f1"})
}

// A request that crashes upstreams now before and now after the first event of its answer was cleared by each
// first event.
func TestRequestThatCrashesAtVaryingProgressIsConvicted(t *testing.T) {
	is := is.New(t)
	l := New()
	l.RecordCrash("u0", requestWith(1), NotBegun, at(1))
	l.RecordAnswer(requestWith(1), Begun, at(3))
	l.RecordCrash("u1", requestWith(1), Begun, at(3.1))
	l.RecordCrash("u2", requestWith(1), NotBegun, at(5))
	is.Equal(l.Convictions(), []Conviction{"request-f1"})
}

// Requests whose answers had begun when their upstream crashed are sound if they are answered whole elsewhere.
func TestWholeAnswersClearRequestsThatRanAtCrashes(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range 3 * thresholdBroad.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(1, "popular"), Begun, at(float64(2*i)))
		l.RecordAnswer(requestWith(1, "popular"), Whole, at(float64(2*i)+1))
	}
	is.Equal(len(l.Convictions()), 0)
}

// A part that had begun to be answered at most crashes hid the one that crashes upstreams before the first event.
func TestPartInUseEverywhereDoesNotOutrankACrashingOne(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdBroad.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(i, "popular"), Begun, at(float64(2*i)))
		if i >= thresholdBroad.crashes-thresholdNeverAnswered.crashes {
			l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(20+i, "bad"), NotBegun, at(float64(2*i)))
		}
	}
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// A request that came again cost its group a third rank before it was rejected. It is at the second, and its parts are
// not; what they crash still counts for them.
func TestRequestThatRanAtTwoCrashesIsRejectedAlone(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range thresholdRepeated.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(1, "bad"), NotBegun, at(float64(2*i)))
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(20+i, "popular"), Begun, at(float64(2*i)))
	}
	is.Equal(l.Convictions(), []Conviction{"request-f1"})
	l.RecordCrash("u9", requestWith(9, "bad"), NotBegun, at(9))
	is.Equal(l.Convictions(), []Conviction{"part-bad"})
}

// A sound request that was sent again runs at a second crash by chance: a whole answer to it, which another process saw,
// withdraws its conviction.
func TestWholeAnswerWithdrawsTheConvictionOfARepeatedRequest(t *testing.T) {
	is := is.New(t)
	l, other := New(), New()
	for i := range thresholdRepeated.crashes {
		l.RecordCrash(fmt.Sprintf("u%d", i), requestWith(1), Begun, at(float64(2*i)))
	}
	is.Equal(l.Convictions(), []Conviction{"request-f1"})
	other.Merge(l.Evidence(at(3)), at(3))
	other.RecordAnswer(requestWith(1), Whole, at(4))
	l.Merge(other.Evidence(at(5)), at(5))
	is.Equal(len(l.Convictions()), 0)
}
