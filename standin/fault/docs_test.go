package fault_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/standin/fault"
)

func TestDocsListEveryFault(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/STANDINS.md")
	c.Assert(err, qt.IsNil)
	var rows strings.Builder
	for _, info := range fault.List() {
		_, _ = fmt.Fprintf(&rows, "| `%s` | %s | %s |\n", info.Name, info.Where, info.Effect)
	}
	c.Check(strings.HasSuffix(string(page), rows.String()), qt.IsTrue, qt.Commentf("the page must end with:\n%s", rows.String()))
}
