package operate

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// run runs a command line and returns its status and output.
func run(t *testing.T, args ...string) (status int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := &Env{In: strings.NewReader(""), Out: &stdout, Err: &stderr}
	status = Main(args, env)
	return status, stdout.String(), stderr.String()
}

func TestExitStatus(t *testing.T) {
	c := qt.New(t)
	invalid := filepath.Join(t.TempDir(), "invalid.toml")
	c.Assert(os.WriteFile(invalid, []byte("[host]\nnmae = 1"), 0o600), qt.IsNil)
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, StatusDone},
		{[]string{"codes"}, StatusDone},
		{[]string{"settings", "check", invalid}, StatusFailed},
		{[]string{"settings", "check", invalid + "-missing"}, StatusFailed},
		{[]string{"no-such-command"}, StatusUsage},
		{[]string{"codes", "--no-such-flag"}, StatusUsage},
		{[]string{}, StatusUsage},
	}
	for _, test := range tests {
		status, _, _ := run(t, test.args...)
		c.Check(status, qt.Equals, test.want, qt.Commentf("%q", test.args))
	}
}

func TestSettingsCheckAsJSON(t *testing.T) {
	c := qt.New(t)
	invalid := filepath.Join(t.TempDir(), "invalid.toml")
	c.Assert(os.WriteFile(invalid, []byte("[host]\nnmae = 1"), 0o600), qt.IsNil)
	_, out, _ := run(t, "settings", "check", "--json", invalid)
	var result checkResult
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Check(result.Valid, qt.IsFalse)
	c.Check(len(result.Problems) > 5, qt.IsTrue)
	c.Check(out, qt.Not(qt.Contains), "\x1b[")
}
