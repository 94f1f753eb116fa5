package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	routes := []*Route{{Name: "short", Host: "H.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "other.example", Prefix: "/"}}
	table := New(1, routes, nil, nil, Limits{})
	for _, want := range []struct{ host, path, name string }{
		{"h.example", "/a/b/c", "long"}, {"h.example", "/a/b", "short"}, {"H.EXAMPLE:80", "/a/x", "short"}, {"h.example", "/a/?x=/a/b/", "short"},
		{"h.example", "/ab", ""}, {"none.example", "/a/", ""}, {"other.example", "/a/", "other"}, {"h.example", "/a/%62/", "short"},
	} {
		r, ok := table.Route(want.host, want.path)
		c.Assert(ok, qt.Equals, want.name != "", qt.Commentf("%v", want))
		if ok {
			c.Assert(r.Name, qt.Equals, want.name)
		}
	}
}

func TestServicesByWeight(t *testing.T) {
	c := qt.New(t)
	r := &Route{Splits: []Split{{"a", 3}, {"none", 0}, {"b", 1}}}
	first := make(map[string]int)
	for random := range uint64(400) {
		names := r.Services(random)
		c.Assert(names, qt.HasLen, 2)
		first[names[0]]++
	}
	c.Assert(first, qt.DeepEquals, map[string]int{"a": 300, "b": 100})
	c.Assert((&Route{}).Services(1), qt.HasLen, 0)
}

func TestRetryable(t *testing.T) {
	c := qt.New(t)
	c.Assert((&Route{Kind: NonIdempotent, Resumable: true}).Retryable(), qt.IsFalse)
	c.Assert((&Route{Kind: Idempotent}).Retryable(), qt.IsTrue)
	c.Assert((&Route{Kind: Stream}).Retryable(), qt.IsFalse)
	c.Assert((&Route{Kind: Stream, Resumable: true}).Retryable(), qt.IsTrue)
}

func TestKeysOfWorkspaces(t *testing.T) {
	c := qt.New(t)
	table := New(1, nil, nil, []*Workspace{{Name: "w", Keys: []string{"a", "b"}}, {Name: "v", Keys: []string{"c"}}}, Limits{})
	c.Assert(table.RequiresKey, qt.IsTrue)
	w, ok := table.Workspace("b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Name, qt.Equals, "w")
	_, ok = table.Workspace("")
	c.Assert(ok, qt.IsFalse)
}

func TestRankOfPriorities(t *testing.T) {
	c := qt.New(t)
	route := func(priority int, services ...string) *Route {
		r := &Route{Priority: priority}
		for _, s := range services {
			r.Splits = append(r.Splits, Split{s, 1})
		}
		return r
	}
	table := New(1, []*Route{route(5, "a"), route(0, "a", "b"), route(5, "a"), route(2, "a")}, nil, nil, Limits{})
	for priority, rank := range map[int]int{0: 0, 1: 1, 2: 1, 3: 2, 5: 2, 9: 3} {
		c.Assert(table.Rank("a", priority), qt.Equals, rank, qt.Commentf("priority %d", priority))
	}
	c.Assert(table.Rank("b", 7), qt.Equals, 1)
	c.Assert(table.Rank("none", 7), qt.Equals, 0)
}
