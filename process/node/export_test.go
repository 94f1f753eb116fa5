package node

import (
	"sync"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// AuditGrace is exported for tests.
const AuditGrace = auditGrace

// BeforeFinalCheck calls event once before the final check of a request. If broken
// is set, the check allows every request.
func BeforeFinalCheck(n *Node, broken bool, event func()) {
	var once sync.Once
	n.finalCheck = func(p *permit, _ time.Time) *outcome.Refusal {
		once.Do(event)
		if broken {
			return nil
		}
		return p.check(n.clock.Now())
	}
}

// DrainingFor returns how long the router has known that the endpoint is draining.
func DrainingFor(n *Node, name string) time.Duration {
	return n.drainingFor(n.clock.Now(), name)
}
