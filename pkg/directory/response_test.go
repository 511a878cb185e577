package directory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNewResponse(t *testing.T) {
	near := Entry{Address: "near", InRegion: true, Usable: true}
	far := Entry{Address: "far", Usable: true}
	unresponsive := Entry{Address: "silent", InRegion: true}
	leaving := Entry{Address: "gone", InRegion: true, Usable: true, Leaving: true}
	cases := []struct {
		name    string
		entries []Entry
		want    []string
	}{
		{"own region only", []Entry{far, near, unresponsive, leaving}, []string{"near"}},
		{"other regions as a fallback", []Entry{far, unresponsive, leaving}, []string{"far"}},
		{"unconfirmed before leaving", []Entry{leaving, unresponsive}, []string{"silent"}},
		{"leaving rather than none", []Entry{leaving}, []string{"gone"}},
		{"none known", nil, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response := NewResponse(c.entries, 7, rand.New(rand.NewPCG(1, 2)))
			slices.Sort(response.Addresses)
			is.Equal(response.Addresses, c.want)
			is.Equal(response.TTLSeconds, 7)
		})
	}
}

func TestLongerTTLOfEarlierResponsesIsKept(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var l TTLTracker
	l.SetTTL(start, time.Minute)
	l.SetTTL(start.Add(10*time.Second), time.Second)
	is.Equal(l.LatestExpiry(start.Add(11*time.Second)), start.Add(70*time.Second))
	is.Equal(l.LatestExpiry(start.Add(2*time.Minute)), start.Add(121*time.Second))
}
