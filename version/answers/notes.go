package answers

import (
	"fmt"

	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Advice returns what is no fault of a, but what its team should know, in the
// form of problems with a proposal as remedy. file is the form's name.
func Advice(file string, a Answers) stricttoml.Problems {
	c := &checker{answers: &a, source: stricttoml.NewSource(file)}
	for i := range a.Applications {
		c.zoneNote(i)
	}
	for i := range a.Kinds {
		k := &a.Kinds[i]
		key := fmt.Sprintf("kinds[%d] %s", i, k.Name)
		c.require(!k.HarmIfTwice || k.Keys != KeysSometimes, key, "let callers send a key with each request",
			"without a key a repeat by the caller is a new request: at most once then holds for each send only")
		c.require(!k.HarmIfTwice || k.Keys != KeysAnyForm, key, "let callers send UUIDv7 keys",
			"keys that are not UUIDv7 do not tell their age: at most once then holds only within repeats_within")
	}
	return c.problems
}

// zoneNote says what taking out the zone with the most workers leaves of an
// application.
func (c *checker) zoneNote(index int) {
	app := c.answers.Applications[index]
	all, most, zone := 0, 0, ""
	byZone := make(map[string]int)
	for i := range c.answers.Workers {
		w := &c.answers.Workers[i]
		if w.Application != app.Name {
			continue
		}
		all += w.AtOnce
		byZone[w.Zone] += w.AtOnce
		if byZone[w.Zone] > most {
			most, zone = byZone[w.Zone], w.Zone
		}
	}
	key := fmt.Sprintf("applications[%d] %s", index, app.Name)
	c.require(most < all, key, "spread its workers over zones",
		"all its workers are in %s: taking that zone out stops it", zone)
	c.require(most == all || 2*most <= all, key, "spread its workers more evenly",
		"%d of the %d requests that it bears are in %s, and would be gone with that zone", most, all, zone)
}
