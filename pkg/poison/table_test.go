package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

var baseTime = time.Unix(1_000, 0)

func verdict(f string, s State, wall int64) Verdict {
	return Verdict{Fingerprint: Fingerprint(f), State: s, Stamp: event.Stamp{Wall: wall}}
}

// Guards against requests of different content that share a fingerprint, also when the same
// bytes are split between fields differently.
func TestFingerprintCoversContent(t *testing.T) {
	is := is.New(t)
	a := NewFingerprint("org", "model", "POST", "/v1", []byte("body"))
	is.Equal(a, NewFingerprint("org", "model", "POST", "/v1", []byte("body")))
	is.Equal(len(a), 2*fingerprintBytes)
	others := []Fingerprint{
		NewFingerprint("other", "model", "POST", "/v1", []byte("body")),
		NewFingerprint("org", "models", "POST", "/v1", []byte("body")),
		NewFingerprint("orgm", "odel", "POST", "/v1", []byte("body")),
		NewFingerprint("org", "model", "POST", "/v1b", []byte("ody")),
		NewFingerprint("org", "model", "GET", "/v1", []byte("body")),
	}
	for _, o := range others {
		is.True(a != o)
	}
}

// Guards against reordered verdicts that change the outcome: the newest wins, but a conviction
// is never replaced.
func TestNewestVerdictWinsAndConvictionsPersist(t *testing.T) {
	cases := []struct {
		name   string
		merged []Verdict
		want   State
	}{
		{"no verdict", nil, Unknown},
		{"suspect", []Verdict{verdict("f", Suspect, 1)}, Suspect},
		{"cleared after suspect", []Verdict{verdict("f", Suspect, 1), verdict("f", Cleared, 2)}, Cleared},
		{"reordered verdicts", []Verdict{verdict("f", Cleared, 2), verdict("f", Suspect, 1)}, Cleared},
		{"suspect again", []Verdict{verdict("f", Cleared, 2), verdict("f", Suspect, 3)}, Suspect},
		{"delayed conviction", []Verdict{verdict("f", Cleared, 9), verdict("f", Convicted, 2)}, Convicted},
		{"conviction stands", []Verdict{verdict("f", Convicted, 2), verdict("f", Cleared, 9)}, Convicted},
		{"another fingerprint", []Verdict{verdict("g", Convicted, 2)}, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := New(Options{})
			for _, v := range c.merged {
				table.Merge(v, baseTime)
			}
			is.Equal(table.State("f", baseTime), c.want)
		})
	}
}

// Guards against suspects or convictions that outlive their TTL, and convictions that expire as
// early as suspects.
func TestVerdictsExpire(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	table.Merge(verdict("s", Suspect, 1), baseTime)
	table.Merge(verdict("c", Convicted, 1), baseTime)
	is.Equal(table.State("s", baseTime.Add(SuspectTTL+1)), Unknown)
	is.Equal(table.State("c", baseTime.Add(SuspectTTL+1)), Convicted)
	is.Equal(table.State("c", baseTime.Add(ConvictionTTL+1)), Unknown)
}

// Guards against verdicts that circulate forever: a repeated verdict is no change and is not
// distributed longer.
func TestRepeatedVerdictIsNoChange(t *testing.T) {
	is := is.New(t)
	table := New(Options{})
	is.True(table.Merge(verdict("f", Suspect, 1), baseTime))
	is.True(!table.Merge(verdict("f", Suspect, 1), baseTime))
	is.Equal(len(table.RecentVerdicts(baseTime)), 1)
	is.Equal(len(table.RecentVerdicts(baseTime.Add(RecentVerdictAge+1))), 0)
}

// Guards against unbounded tables, and against suspects that evict convictions.
func TestTableIsBoundedAndKeepsConvictions(t *testing.T) {
	is := is.New(t)
	table := New(Options{MaxFingerprints: 100})
	table.Merge(verdict("convicted", Convicted, 1), baseTime)
	for n := range 10_000 {
		table.Merge(verdict(fmt.Sprint(n), Suspect, int64(n)), baseTime.Add(time.Duration(n)*time.Millisecond))
		is.True(table.Len() <= 100)
	}
	is.Equal(table.State("convicted", baseTime), Convicted)
	is.Equal(table.State("9999", baseTime), Suspect)
	is.True(len(table.RecentVerdicts(baseTime.Add(10*time.Second))) <= MaxRecentVerdicts)
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4096)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		NewFingerprint("org", "model", "POST", "/v1/chat/completions", body)
	}
}
