package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/version/stricttoml"
)

const valid = `
[host]
name = "entry-1"
zone = "xela-a"
region = "altiplano"
[listen]
caller = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
operator = "127.0.0.1:8003"
[platform]
log = "127.0.0.1:9001"
hosts = "127.0.0.1:9002"
weights = "127.0.0.1:9003"
[access]
open_on_loopback = true
`

func TestValidSettingsKeepDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("s.toml", []byte(valid))
	c.Assert(err, qt.IsNil)
	c.Check(s.Host.Zone, qt.Equals, "xela-a")
	c.Check(s.Limits, qt.Equals, Default().Limits)
}

func TestEveryErrorIsReportedAtOnceWithItsLine(t *testing.T) {
	c := qt.New(t)
	short := filepath.Join(t.TempDir(), "place.key")
	c.Assert(os.WriteFile(short, []byte("short"), 0o600), qt.IsNil)
	text := `[host]
name = ""
zone = "a"
region = "r"
colour = "red"
[listen]
caller = "entry.example:80"
peer = "10.0.0.1:8002"
operator = "0.0.0.0:8002"
[platform]
log = "127.0.0.1:9001"
hosts = "127.0.0.1:9002"
weights = "127.0.0.1:0"
[access]
operator_key_hash = "abc"
open_on_loopback = true
place_key_file = '` + short + `'
[tls]
caller_cert = "` + short + `"
[limits]
body_time = 5
workers = 0
[member]
tick = "2s"
[log]
levle = "info"
`
	_, err := Parse("s.toml", []byte(text))
	var problems stricttoml.Problems
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	got := make(map[string]int)
	for _, p := range problems {
		got[p.Key] = p.Line
		c.Check(p.File, qt.Equals, "s.toml")
		c.Check(p.Remedy, qt.Not(qt.Equals), "", qt.Commentf("%s", p.Key))
	}
	c.Check(got, qt.DeepEquals, map[string]int{
		"host.name": 2, "host.colour": 5, "listen.caller": 7, "listen.operator": 9,
		"platform.weights": 13, "access.operator_key_hash": 15, "access.place_key_file": 17,
		"tls.caller_key": 18, "limits.body_time": 21, "limits.workers": 22,
		"member.dead_after": 23, "member.promise": 23, "log.levle": 26,
	})
	c.Check(err, qt.ErrorMatches, `(?s).*s.toml:26: log.levle: unknown key; did you mean "level"\?.*`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[[host]]\nname=1\n[listen]\ncaller=[1]"))
	f.Add([]byte("host = 3\nlisten = {caller = 1}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.toml", data)
		if err == nil && len(Validate(s)) > 0 {
			t.Fatalf("accepted settings that are not valid: %q", data)
		}
	})
}
