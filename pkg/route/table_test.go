package route

import (
	"testing"

	"github.com/matryer/is"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	table := Compile(Configuration{Version: 3, Routes: []Route{
		{Name: "short", Host: "H.example", PathPrefix: "/a/"},
		{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "g.example", PathPrefix: "/a/b/c/"},
	}})
	name := func(host, path string) string {
		if r := table.Route(host, path); r != nil {
			return r.Name
		}
		return ""
	}
	is.Equal(name("h.example:8080", "/a/b/c/d"), "long")
	is.Equal(name("h.example", "/a/bc"), "short")
	is.Equal(name("h.example", "/a"), "")
	is.Equal(name("x.example", "/a/"), "")
}

func TestBackendsShareByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Backends: []Backend{{"s", 90}, {"t", 0}, {"u", 10}}}
	is.Equal(r.PickBackend(0), "s")
	is.Equal(r.PickBackend(0.899), "s")
	is.Equal(r.PickBackend(0.9), "u")
	is.Equal(r.PickBackend(0.999), "u")
	is.Equal((&Route{}).PickBackend(0.5), "")
	is.Equal((&Route{Backends: []Backend{{"s", 0}, {"t", 0}}}).PickBackend(0.5), "")
	is.Equal((&Route{Backends: []Backend{{"s", 1}, {"t", 0}}}).PickBackend(1), "s") // as if by rounding
}

func TestKeysBelongToOrganisations(t *testing.T) {
	is := is.New(t)
	table := Compile(Configuration{Organisations: []Organisation{{Name: "o", APIKeys: []string{"a", "b"}}, {Name: "p"}}})
	is.Equal(table.Organisation("b").Name, "o")
	is.True(table.Organisation("c") == nil)
	is.True(!Compile(Configuration{}).RequiresAPIKeys())
	is.True(Compile(Configuration{RequiresAPIKeys: true}).RequiresAPIKeys()) // also without any key
	is.True(Compile(Configuration{Organisations: []Organisation{{Name: "o", APIKeys: []string{""}}}}).Organisation("") == nil)
}
