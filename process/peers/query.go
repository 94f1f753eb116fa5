package peers

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
)

const (
	// queryAttempts is how often a query is sent, since datagrams get lost.
	queryAttempts = 2
	// queryTimeout is how long the answers to each attempt are awaited: many round trips
	// within a region.
	queryTimeout = 50 * time.Millisecond
)

// OriginQuery asks the other routers which software began a stream.
type OriginQuery struct {
	Number   int64       `json:"n"` // set by Ask
	Stream   origins.Key `json:"stream"`
	Services []string    `json:"services"` // that may have begun it
}

// originReply answers the query with the same number.
type originReply struct {
	Number int64 `json:"n"`
	origins.Answer
}

// Ask asks the other routers about a stream. It returns when one knows it, all
// that are alive have answered, or the time is over.
func (e *Exchange) Ask(ctx context.Context, q OriginQuery) []origins.Answer {
	expected := e.Table.CountAlive(time.Now())
	if expected == 0 { // this process may have started just now
		expected = len(e.Table.Addresses())
	}
	if expected == 0 {
		return nil
	}
	ch := make(chan origins.Answer, queryAttempts*expected)
	e.queriesMu.Lock()
	if e.queries == nil {
		e.queries = make(map[int64]chan origins.Answer)
		e.lastQuery = time.Now().UnixNano() // replies to an earlier process have other numbers
	}
	e.lastQuery++
	q.Number = e.lastQuery
	e.queries[q.Number] = ch
	e.queriesMu.Unlock()
	defer func() {
		e.queriesMu.Lock()
		delete(e.queries, q.Number)
		e.queriesMu.Unlock()
	}()
	var answers []origins.Answer
	answered := make(map[string]bool)
	for range queryAttempts {
		e.broadcast(message{Query: &q})
		timeout := time.NewTimer(queryTimeout)
		for waiting := true; waiting; {
			select {
			case a := <-ch:
				if !answered[a.Router] {
					answered[a.Router] = true
					answers = append(answers, a)
				}
				if a.Origin != nil || len(answers) >= expected {
					timeout.Stop()
					return answers
				}
			case <-timeout.C:
				waiting = false
			case <-ctx.Done():
				timeout.Stop()
				return answers
			}
		}
	}
	return answers
}

// handleQuery answers another router.
func (e *Exchange) handleQuery(now time.Time, q OriginQuery, from string) {
	e.sendTo(message{Reply: &originReply{Number: q.Number, Answer: e.OnQuery(now, q)}}, []string{from})
}

func (e *Exchange) handleReply(r originReply) {
	e.queriesMu.Lock()
	defer e.queriesMu.Unlock()
	select {
	case e.queries[r.Number] <- r.Answer:
	default: // the query has ended
	}
}
