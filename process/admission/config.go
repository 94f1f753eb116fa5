package admission

import (
	"time"

	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/request/queue"
)

// Config holds the timeouts of admission. All routers must use the same values.
type Config struct {
	Lease          time.Duration // a permit expires unless renewed within this time
	DispatchWindow time.Duration // a permit must be used within this time of its grant
	// SettleTime is how long after a change of ownership load reports show all
	// work that earlier owners admitted: the dispatch window plus an allowance
	// for the network delay to the endpoint.
	SettleTime time.Duration
	// ReportStale is the age of the last load report above which an endpoint
	// counts as cold.
	ReportStale time.Duration
	// MeanStale is the age above which a group mean, or a contribution to it,
	// is no longer used.
	MeanStale time.Duration
	// MeanMinInterval is the minimum time between two loads or means sent for a group.
	MeanMinInterval time.Duration
	// MeanKeepAlive is the time after which unchanged loads and means are sent
	// again.
	MeanKeepAlive time.Duration
	QueueBound    int // requests that may wait for one endpoint
}

// DefaultConfig returns the default timeouts.
func DefaultConfig() Config {
	return Config{
		Lease:           3 * time.Second,
		DispatchWindow:  250 * time.Millisecond,
		SettleTime:      350 * time.Millisecond,
		ReportStale:     2 * time.Second,
		MeanStale:       3 * time.Second,
		MeanMinInterval: 250 * time.Millisecond,
		MeanKeepAlive:   time.Second,
		QueueBound:      queue.DefaultBound,
	}
}

// Membership counts the routers that are bound to this one. *member.Table
// implements it.
type Membership interface {
	Bindings(now time.Time) *member.Bindings
}

// Queue holds the requests that wait for one endpoint. *queue.Queue
// implements it.
type Queue interface {
	Len() int
	// Urgent returns the number of waiting requests that are not deferrable.
	Urgent() int
	// SetCapacity sets the number of permits that the endpoint gets when warm.
	SetCapacity(permits int)
	// Push adds an item; the owner may have up to limit permits granted. It
	// returns the item that is refused as a result, possibly the added one.
	Push(now time.Time, item queue.Item, limit int) (queue.Refused, bool)
	// Pop returns the item that gets the next permit, if there is one.
	Pop(now time.Time, running, limit int) (queue.Item, bool)
	// Done records that a permit was released after it was held for a while.
	Done(workspace string, held time.Duration)
	// Expire removes and returns the items whose wait or deadline has ended.
	Expire(now time.Time, limit int) []queue.Refused
	// Remove removes the item with this id.
	Remove(id uint64) bool
}

// NewQueue returns a queue ordered by worth and deadline.
func NewQueue(bound int) Queue {
	return queue.New(bound)
}
