package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/queue"
)

// Config is the timing of admission. All routers must use the same values.
type Config struct {
	Lease          time.Duration // a permit lapses unless renewed within this time
	DispatchWindow time.Duration // a permit that was not used within this time is void
	// SettleTime is how long after a change of ownership a load report must be
	// taken to show all work that earlier owners admitted: the dispatch window
	// and an allowance for the way to the endpoint.
	SettleTime time.Duration
	// ReportStale is the age of the last load report at which an endpoint
	// counts as cold.
	ReportStale time.Duration
	// MeanStale is the age at which a mean, or a contribution to it, is no
	// longer relied on.
	MeanStale time.Duration
	// MeanEvery is the least time between two reports of load for the mean.
	MeanEvery time.Duration
	// MeanKeepAlive is the time after which loads and means are sent again
	// though they did not change.
	MeanKeepAlive time.Duration
	QueueBound    int // requests that may wait for one endpoint
}

// DefaultConfig returns the timing that is in use.
func DefaultConfig() Config {
	return Config{
		Lease:          3 * time.Second,
		DispatchWindow: 250 * time.Millisecond,
		SettleTime:     350 * time.Millisecond,
		ReportStale:    2 * time.Second,
		MeanStale:      3 * time.Second,
		MeanEvery:      250 * time.Millisecond,
		MeanKeepAlive:  time.Second,
		QueueBound:     queue.DefaultBound,
	}
}

// Membership tells how many routers are bound to this one. *member.Table
// implements it.
type Membership interface {
	Bindings(now time.Time) *member.Bindings
}

// Queue holds the requests that wait for one endpoint. *queue.Queue
// implements it.
type Queue interface {
	Len() int
	// Urgent returns the number of waiting items that cannot wait.
	Urgent() int
	// SetCapacity tells the number of permits that the warm endpoint bears.
	SetCapacity(permits int)
	// Push adds an item; limit permits exist in total. It returns what has to
	// be refused because of it, possibly the item itself.
	Push(now time.Time, item queue.Item, limit int) (queue.Refused, bool)
	// Pop returns the item that gets the next permit, if one may have it.
	Pop(now time.Time, running, limit int) (queue.Item, bool)
	// Done tells that a permit was given back after it was held for a while.
	Done(workspace string, held time.Duration)
	// Expire removes what has to be refused because of the time.
	Expire(now time.Time, limit int) []queue.Refused
	// Remove takes the item id out.
	Remove(id uint64) bool
}

// NewQueue returns the queue that orders by worth and deadline.
func NewQueue(bound int) Queue {
	return queue.New(bound)
}
