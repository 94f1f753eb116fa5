package outcome

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCombineCoversBothAttempts(t *testing.T) {
	c := qt.New(t)
	tests := []struct{ a, b, want Run }{
		{RunNot, RunNot, RunNot},
		{RunNot, RunUnknown, RunUnknown},
		{RunUnknown, RunNot, RunUnknown},
		{RunUnknown, RunDone, RunDone},
		{RunDone, RunNot, RunDone},
	}
	for _, test := range tests {
		c.Check(Combine(test.a, test.b), qt.Equals, test.want, qt.Commentf("%v and %v", test.a, test.b))
	}
}

func TestCodesAreUniqueAndOrdered(t *testing.T) {
	c := qt.New(t)
	names := make(map[string]bool)
	last := Code(-1)
	for _, info := range Codes() {
		c.Check(info.Code > last, qt.IsTrue, qt.Commentf("%s", info.Name))
		c.Check(names[info.Name], qt.IsFalse, qt.Commentf("%s", info.Name))
		names[info.Name] = true
		last = info.Code
	}
}
