// Package retry decides whether another attempt of a request is made: a retry
// after a failed attempt, or a hedged request beside a slow one. Budget bounds both per
// router and per endpoint, SharedBudget the retries per service over all routers. Both
// bounds grow with the requests, so that retries cannot grow into a retry storm.
//
// Lock order: Budget.mu and SharedBudget.mu are leaves.
package retry
