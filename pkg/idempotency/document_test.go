package idempotency

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

const now = int64(1_800_000_000_000)

func ask(id string) Op {
	return Op{Kind: Ask, Key: "k", ID: id, Fingerprint: 7, Timeout: time.Minute, TTL: time.Hour}
}

func TestRepeats(t *testing.T) {
	is := is.New(t)
	d := Document{}.Clone()
	code1 := func(o Op, at int64) code.Code {
		got, _ := d.Apply(o, at)
		return got.Code
	}
	is.Equal(code1(ask("a"), now), code.OK)
	is.Equal(code1(ask("a"), now), code.OK) // a lost answer is settled by asking again
	is.Equal(code1(ask("b"), now), code.AlreadyInProgress)
	other := ask("b")
	other.Fingerprint = 8
	is.Equal(code1(other, now), code.KeyReused)
	is.Equal(code1(ask("b"), now+3*60_000), code.ClaimUnsettled) // its entry died
	is.Equal(code1(Op{Kind: Release, Key: "k", ID: "b"}, now), code.OK)
	is.Equal(code1(ask("b"), now), code.AlreadyInProgress) // only the owner releases
	is.Equal(code1(Op{Kind: Release, Key: "k", ID: "a"}, now), code.OK)
	is.Equal(code1(ask("b"), now), code.OK)
	is.Equal(code1(Op{Kind: Finish, Key: "k", ID: "b", Answer: &Answer{Status: 200}}, now), code.OK)
	is.Equal(code1(Op{Kind: Release, Key: "k", ID: "b"}, now), code.OK)
	is.Equal(code1(ask("c"), now), code.Duplicate) // what is done stays done
	is.Equal(code1(ask("c"), now+time.Hour.Milliseconds()+1), code.Duplicate)
	is.Equal(code1(ask("c"), now+2*time.Hour.Milliseconds()), code.OK)
}

func TestKeysAreScopedByOrganisation(t *testing.T) {
	is := is.New(t)
	is.True(NewKey("a", "bc") != NewKey("ab", "c"))
}

func TestFullDocumentFitsIntoAValueOfThePlatformAndForgetsNoClaim(t *testing.T) {
	is := is.New(t)
	d := Document{}.Clone()
	for i := range MaxClaims {
		o := Op{
			Kind: Ask, Key: NewKey("o", fmt.Sprint(i)), ID: uuid.NewString() + "-zzzzzzzz",
			Fingerprint: math.MaxUint64, Timeout: time.Minute, TTL: 24 * time.Hour,
		}
		got, _ := d.Apply(o, now)
		is.Equal(got.Code, code.OK)
		o.Kind = Finish
		o.Answer = &Answer{Status: 200, Body: make([]byte, MaxAnswerBytes)}
		d.Apply(o, now)
	}
	got, _ := d.Apply(ask("late"), now)
	is.Equal(got.Code, code.ClaimUnavailable)
	is.Equal(len(d.Claims), MaxClaims)
	text, err := json.Marshal(d)
	is.NoErr(err)
	t.Logf("%d claims in %d bytes", len(d.Claims), len(text))
	is.True(len(text) < 1<<20)
}

func TestHomesMoveOnlyWithTheirEntry(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	for p := range Partitions {
		all := Homes(p, names)
		less := Homes(p, names[:3])
		if all[0] != "d" {
			is.Equal(all[0], less[0])
		}
	}
}
