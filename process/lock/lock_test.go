//go:build lockcheck

package lock

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWrongOrderPanics(t *testing.T) {
	c := qt.New(t)
	var owner Mutex[AdmissionOwner]
	var table Mutex[MemberTable]
	var a, b Mutex[Leaf]

	owner.Lock()
	table.Lock()
	a.Lock()
	c.Check(b.Lock, qt.PanicMatches, ".*a leaf lock is taken while a leaf lock is held")
	a.Unlock()
	table.Unlock()
	owner.Unlock()

	table.Lock()
	c.Check(owner.Lock, qt.PanicMatches, ".*admission.Owner.mu is taken while member.Table.mu is held")
	table.Unlock()
	owner.Lock() // the failed Lock left no trace
	owner.Unlock()
}
