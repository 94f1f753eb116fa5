package answers

import (
	"errors"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/stricttoml"
)

func example(c *qt.C, name string) Answers {
	a, err := Load(filepath.Join("..", "..", "examples", name, "answers.toml"))
	c.Assert(err, qt.IsNil)
	return a
}

func TestExamplesGiveValidConfigurations(t *testing.T) {
	c := qt.New(t)
	// The numbers of zones, endpoints of the model and endpoints of the service.
	sizes := map[string][]int{"voces-unidas": {3, 9, 3}, "sismolab": {4, 12, 4}}
	for name, want := range sizes {
		generated, reasons := Generate(example(c, name))
		c.Check(config.Validate(generated), qt.HasLen, 0)
		snapshot := config.NewSnapshot(config.State{Config: generated})
		c.Check(generated.Zones, qt.HasLen, want[0])
		c.Check(snapshot.GroupEndpoints(generated.Models[0].Name), qt.HasLen, want[1])
		c.Check(snapshot.GroupEndpoints(generated.Services[0].Name), qt.HasLen, want[2])
		c.Check(generated.Workspaces, qt.HasLen, 10)
		for _, reason := range reasons {
			c.Check(reason.Why, qt.Not(qt.Equals), "")
		}
	}
}

func TestEachValueIsAnsweredOrHasAReason(t *testing.T) {
	c := qt.New(t)
	a := example(c, "voces-unidas")
	generated, reasons := Generate(a)
	explained := make(map[string]bool)
	for _, reason := range reasons {
		explained[reason.Key] = true
	}
	answered := []string{
		"name", "region", "version", "adapter", "prefill_per_second", "move_per_second", "address", "zone", "model",
		"service", "role", "bears", "cold_bears", "cache_tokens", "checks_fence", "non_idempotent", "key_required", "any_key",
		"can_wait", "full_until", "objective", "key_hash", "load_lag", "weight_loads_per_minute",
	}
	for _, e := range flatten(generated) {
		_, field, _ := cutLast(e.key)
		ok := explained[e.key]
		for _, name := range answered {
			ok = ok || field == name
		}
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", e.key))
	}
	c.Check(explained["endpoints.booking-1.cold_bears"], qt.IsTrue)
	c.Check(explained["endpoints.adapt-1.cold_bears"], qt.IsFalse)
}

func TestTemplateAsksEverythingAndReportsProblems(t *testing.T) {
	c := qt.New(t)
	for _, key := range tomlKeys(reflect.TypeFor[Answers]()) {
		c.Check(strings.Contains(Template(), key), qt.IsTrue, qt.Commentf("%s", key))
	}
	_, err := Parse("new.toml", []byte(Template()))
	var problems stricttoml.Problems
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	for _, p := range problems {
		c.Check(p.Text, qt.Not(qt.Equals), "unknown key")
		c.Check(p.Line > 0, qt.IsTrue, qt.Commentf("%v", p))
		c.Check(p.Remedy, qt.Not(qt.Equals), "")
	}
	c.Check(len(problems) > 20, qt.IsTrue)
}

func tomlKeys(t reflect.Type) []string {
	var keys []string
	for field := range t.Fields() {
		keys = append(keys, field.Tag.Get("toml")+" =")
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			keys[len(keys)-1] = "[[" + field.Tag.Get("toml") + "]]"
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && strings.HasSuffix(inner.PkgPath(), "version/answers") {
			if field.Type.Kind() == reflect.Struct {
				keys[len(keys)-1] = "[" + field.Tag.Get("toml") + "]"
			}
			keys = append(keys, tomlKeys(inner)...)
		}
	}
	return keys
}

func TestContradictionsAreFoundAllAtOnce(t *testing.T) {
	c := qt.New(t)
	a := example(c, "sismolab")
	a.WeighsMost = "speed"
	a.Zones[1].Name = a.Zones[0].Name
	a.Workers[0].Zone = "ate " // not the zone "ate"
	a.Workers[1].Address = a.Workers[2].Address
	a.Workers[3].ColdAtOnce = 100
	a.Workers[4].CacheTokens = 0
	a.Kinds[0].FullUntil = a.Kinds[0].WorthlessAfter
	a.Kinds[1].Promise = 1
	a.Kinds[2].Application = "booking"
	a.Kinds[2].Worth = 0
	a.Kinds[3].Keys = ""
	a.Kinds[4].Keys = KeysAlways
	a.Workspaces[1].KeySHA256 = strings.ToUpper(a.Workspaces[0].KeySHA256)
	a.Workspaces[2].KeySHA256 = "abc"
	a.Platform.HarmfulPerSecond = 0
	got := make(map[string]bool)
	for _, p := range Check(a) {
		got[p.Key] = true
	}
	for _, key := range []string{
		"weighs_most", "zones[1].name", "workers[0].zone", "workers[1].zone", "workers[2].address", "workers[3].cold_at_once",
		"workers[4].cache_tokens", "kinds[0].full_until", "kinds[1].promise", "kinds[2].application", "kinds[2].worth",
		"kinds[3].keys", "kinds[4].keys", "workspaces[1].key_sha256", "workspaces[2].key_sha256", "platform.harmful_per_second",
	} {
		c.Check(got[key], qt.IsTrue, qt.Commentf("%s", key))
	}
}

func TestFirstByteLeavesTimeForARetry(t *testing.T) {
	c := qt.New(t)
	a := example(c, "sismolab")
	a.Kinds[2].WorthlessAfter = config.Duration(3 * time.Second)
	a.Kinds[2].FullUntil = config.Duration(time.Second)
	a.Kinds[3].UsualFirstAnswer = config.Duration(4 * time.Second)
	generated, _ := Generate(a)
	c.Check(generated.Kinds[2].FirstByte.Std(), qt.Equals, 1500*time.Millisecond)
	c.Check(generated.Kinds[3].FirstByte, qt.Equals, generated.Kinds[3].Deadline)
	// 5 times 390 ms, and 8 prompts of 8000 tokens at 10000 tokens a second.
	c.Check(generated.Kinds[0].FirstByte.Std(), qt.Equals, 8350*time.Millisecond)
}

func TestDiffMatchesElementsByName(t *testing.T) {
	c := qt.New(t)
	a := example(c, "voces-unidas")
	old, _ := Generate(a)
	a.Workers[9].AtOnce = 16 // booking-1
	a.Workers = append(a.Workers[:1], a.Workers[2:]...)
	a.Zones = append(a.Zones, Zone{Name: "xela-d", Region: "altiplano"})
	updated, _ := Generate(a)
	c.Check(Diff(old, old), qt.HasLen, 0)
	c.Check(Summary(Diff(old, updated)), qt.DeepEquals, []Change{
		{"endpoints.adapt-2", "adapt-2", ""},
		{"endpoints.booking-1.bears", "32", "16"},
		{"endpoints.booking-1.cold_bears", "8", "4"},
		{"endpoints.booking-1.warm_after", "64", "32"},
		{"zones.xela-d", "", "xela-d"},
	})
}

func TestAdviceOnValidAnswers(t *testing.T) {
	c := qt.New(t)
	a := example(c, "voces-unidas")
	c.Check(Advice("a.toml", a), qt.HasLen, 0)
	for i := range a.Workers {
		a.Workers[i].Zone = "xela-a"
	}
	a.Workers[0].Zone = "xela-b"
	a.Kinds[0].Keys = KeysSometimes
	a.Kinds[1].Keys = KeysAnyForm
	c.Check(Check(a), qt.HasLen, 0)
	notes := Advice("a.toml", a)
	c.Assert(notes, qt.HasLen, 4)
	c.Check(notes[0].Text, qt.Equals, "64 of the 72 requests that it can serve at once are in xela-a and would be lost with that zone")
	c.Check(notes[1].Text, qt.Equals, "all its workers are in xela-a: taking that zone out of service stops it")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Template()))
	f.Add([]byte("workers = [{name = 1}, 2]\n[kinds]\n"))
	f.Add([]byte("[[kinds]]\nname = \"a\"\n[[kinds.name]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Parse("fuzz.toml", data)
		if err != nil {
			return
		}
		if generated, _ := Generate(a); len(config.Validate(generated)) > 0 {
			t.Fatalf("answers without problems give an invalid configuration: %v", config.Validate(generated))
		}
	})
}
