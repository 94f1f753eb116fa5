package answers

import (
	"fmt"

	"github.com/stoatmount/stoatmount/version/stricttoml"
)

// Advice returns weaknesses of valid answers, as problems whose remedy the team may
// decline. file is the name of the questionnaire.
func Advice(file string, a Answers) stricttoml.Problems {
	c := &checker{answers: &a, source: stricttoml.NewSource(file)}
	for i := range a.Applications {
		c.zoneAdvice(i)
	}
	for i := range a.Kinds {
		k := &a.Kinds[i]
		key := fmt.Sprintf("kinds[%d] %s", i, k.Name)
		c.require(!k.HarmIfTwice || k.Keys != KeysSometimes, key, "let callers send a key with each request",
			"without a key, a retry by the caller is a new request, so a request may run again when the caller retries")
		c.require(!k.HarmIfTwice || k.Keys != KeysAnyForm, key, "let callers send UUIDv7 keys",
			"keys that are not UUIDv7 contain no time: at most once then holds only within repeats_within")
	}
	return c.problems
}

// zoneAdvice reports an application that would lose more than half of its capacity
// if the zone with most of it were taken out of service.
func (c *checker) zoneAdvice(index int) {
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
		"all its workers are in %s: taking that zone out of service stops it", zone)
	c.require(most == all || 2*most <= all, key, "spread its workers more evenly",
		"%d of the %d requests that it can serve at once are in %s and would be lost with that zone", most, all, zone)
}
