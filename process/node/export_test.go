package node

import (
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// AuditGrace is exported for tests.
const AuditGrace = auditGrace

// BeforeLastCheck calls event once before the last check of a request. If
// broken, the check lets everything pass.
func BeforeLastCheck(n *Node, broken bool, event func()) {
	var once sync.Once
	n.lastCheck = func(p *permit, _ time.Time) *outcome.Refusal {
		once.Do(event)
		if broken {
			return nil
		}
		return p.check(n.clock.Now())
	}
}

// LeavingFor tells how long the router has known that the endpoint leaves.
func LeavingFor(n *Node, name string) time.Duration {
	return n.leavingFor(n.clock.Now(), name)
}
