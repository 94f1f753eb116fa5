package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/logging"
	"github.com/stoatmount/stoatmount/process/router"
)

const settingsText = `node_name = "a"
ip = "127.0.0.1"
zone = "z"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
[platform]
addr = "127.0.0.1:4"
[bounds]
cold_slack = 5
`

// Settings are reloaded when their content changes or on a signal. A file that
// cannot be read or is not valid changes nothing and is reported once.
func TestSettingsAreReloaded(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	var out strings.Builder
	log := logging.New(&out, "info")
	var got []router.Settings
	reload := func(s router.Settings) error {
		got = append(got, s)
		return nil
	}
	write(settingsText)
	known := reloadIfChanged(log, path, nil, false, reload)
	c.Assert(got, qt.HasLen, 1)
	known = reloadIfChanged(log, path, known, false, reload)
	c.Assert(got, qt.HasLen, 1)
	known = reloadIfChanged(log, path, known, true, reload)
	c.Assert(got, qt.HasLen, 2)
	write(strings.Replace(settingsText, "cold_slack = 5", "cold_slack = 7", 1))
	known = reloadIfChanged(log, path, known, false, reload)
	c.Assert(got[2].ColdSlack, qt.Equals, 7.0)

	write("zone = 3")
	known = reloadIfChanged(log, path, known, false, reload)
	c.Assert(os.Remove(path), qt.IsNil)
	for range 3 {
		known = reloadIfChanged(log, path, known, false, reload)
	}
	c.Assert(got, qt.HasLen, 3)
	c.Assert(strings.Count(out.String(), "settings not reloaded"), qt.Equals, 2) // the invalid file and the removed one
	write(settingsText)
	reloadIfChanged(log, path, known, false, reload)
	c.Assert(got, qt.HasLen, 4)
}
