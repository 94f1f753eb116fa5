// Package retry decides whether another attempt of a request is made: a retry
// after a failed attempt, or a hedged request beside a slow one. Both draw on one
// budget per router and per endpoint, which grows with the requests served, so
// that retries cannot grow into a retry storm.
//
// Lock order: Budget.mu and SharedBudget.mu are leaves.
package retry
