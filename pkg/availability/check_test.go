package availability

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reason that excludes an upstream was hidden by one that only makes it a last resort, or a wait by a shorter one.
func TestTheHardestReasonCounts(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		conditions Conditions
		want       Decision
	}{
		{Conditions{}, Decision{}},
		{Conditions{Leaving: true, PauseWait: s}, Decision{Reason: Leaving, Excluded: true}},
		{Conditions{ZoneOut: true, PauseWait: s}, Decision{Reason: ZoneOut, Excluded: true}},
		{Conditions{PauseWait: 2 * s, LimitWait: s}, Decision{Reason: Paused, Excluded: true, Wait: 2 * s}},
		{Conditions{PauseWait: s, Superseded: true, Silent: true}, Decision{Reason: Paused, Excluded: true, Wait: s}},
		{Conditions{LimitWait: s, StartWait: 2 * s}, Decision{Reason: Limited, Excluded: true, Wait: 2 * s}},
		{Conditions{PauseWait: s, LimitWait: 2 * s}, Decision{Reason: Paused, Excluded: true, Wait: 2 * s}},
		{Conditions{StartWait: s, Unreachable: true}, Decision{Reason: Cold, Excluded: true, Wait: s}},
		{Conditions{HasNoStarts: true, ReturnWait: s}, Decision{Reason: Cold, Excluded: true}},
		{Conditions{ReturnWait: s, Stalled: true}, Decision{Reason: Returning, Excluded: true, Wait: s}},
		{Conditions{Superseded: true, Unconfirmed: true}, Decision{Reason: Superseded}},
		{Conditions{Unconfirmed: true}, Decision{Reason: Unconfirmed}},
		{Conditions{Unreachable: true}, Decision{Reason: Unreachable}},
		{Conditions{Stalled: true}, Decision{Reason: Stalled}},
		{Conditions{Silent: true}, Decision{Reason: Silent}},
	} {
		is := is.New(t)
		got := Check(c.conditions)
		is.Equal(got, c.want)
		is.Equal(got.IsLastResort(), !c.want.Excluded && c.want.Reason != NoReason)
	}
}

// Clients were told to come back at a time at which no upstream could serve them, or later than the first one could.
func TestOutlookNamesTheFirstUpstream(t *testing.T) {
	is := is.New(t)
	var o Outlook
	reason, _ := o.First()
	is.Equal(reason, NoReason)
	o.Add(Decision{Reason: Leaving, Excluded: true})
	o.Add(Decision{Reason: Paused, Excluded: true, Wait: 3 * time.Second})
	o.Add(Decision{Reason: Paused, Excluded: true, Wait: 2 * time.Second})
	o.Add(Decision{Reason: Paused, Excluded: true, Wait: 4 * time.Second})
	o.Add(Decision{Reason: Cold, Excluded: true})
	reason, wait := o.First()
	is.Equal(reason, Paused)
	is.Equal(wait, 2*time.Second)
	is.True(!o.IsServed)
	o.Add(Decision{Reason: Limited, Excluded: true, Wait: time.Second})
	reason, _ = o.First()
	is.Equal(reason, Limited)
	is.Equal(o.Wait(Paused), 2*time.Second)
	o.Add(Decision{Reason: Stalled})
	is.True(o.IsServed) // a last resort may serve
}
