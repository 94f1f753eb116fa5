package ledgerbench

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxAppendsPerSecond is the budget of the whole fleet at 2,000 requests per
// second, of which a tenth are non-idempotent.
const maxAppendsPerSecond = 200

func TestAppendRateStaysWithinBudget(t *testing.T) {
	c := qt.New(t)
	o := DefaultOptions()
	o.Rates, o.Seconds = []int{2000}, 20
	result, err := Measure(o)
	c.Assert(err, qt.IsNil)
	p := result.Points[0]
	text, err := json.Marshal(p)
	c.Assert(err, qt.IsNil)
	t.Logf("%s", text)
	c.Check(p.Claims > 3000, qt.IsTrue)
	c.Check(p.BusiestSecond <= maxAppendsPerSecond, qt.IsTrue, qt.Commentf("%d", p.BusiestSecond))
}
