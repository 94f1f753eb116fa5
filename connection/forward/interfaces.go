package forward

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/request/balance"
)

// Endpoints chooses endpoints and counts their requests.
type Endpoints interface {
	Acquire(now time.Time, req balance.Request) (*balance.Grant, *balance.Refusal)
	// CountHealthy returns how many endpoints Acquire could choose from.
	CountHealthy(now time.Time, req balance.Request) int
	// RecordLoad sets the number of requests that an endpoint reported to run and queue. It returns
	// whether the endpoint is overloaded and the routers did not know.
	RecordLoad(now time.Time, g *balance.Grant, requests int) bool
	// RecordPace records the pace that an endpoint reported.
	RecordPace(at time.Time, g *balance.Grant, pace float64)
	// RecordFirstEvent records that an endpoint has read the prompt of a request.
	RecordFirstEvent(now time.Time, g *balance.Grant)
	// RecordLeaving records that an endpoint announced that it leaves, and reports whether
	// that is new.
	RecordLeaving(now time.Time, g *balance.Grant) bool
	// RecordRetryAfter records for how long an endpoint wants no requests from this router.
	RecordRetryAfter(now time.Time, g *balance.Grant, after time.Duration)
	// RecordAnnouncement records what an endpoint says about the requests that it takes, and
	// reports whether that changes what is known.
	RecordAnnouncement(at time.Time, g *balance.Grant, a balance.Announcement) bool
	// RecordRejection records that an endpoint rejected a request for want of room, and
	// reports whether the other routers need to know.
	RecordRejection(now time.Time, g *balance.Grant) bool
	// FellUnderLoad reports whether an endpoint that went down had too many requests.
	FellUnderLoad(now time.Time, g *balance.Grant) bool
	// RecordFirstByte records that the response of an endpoint has begun, latency after the request was sent.
	RecordFirstByte(now time.Time, g *balance.Grant, latency time.Duration)
	// OverdueAfter returns the time after which RecordOverdue is to be called if a response has not begun; 0 is never.
	OverdueAfter(g *balance.Grant) time.Duration
	RecordOverdue(now time.Time, g *balance.Grant)
	// Release ends a grant and reports whether the endpoint was ejected.
	Release(now time.Time, g *balance.Grant, f balance.Failure, latency time.Duration) bool
	// RecordUnreachable ejects an endpoint to which no connection could be opened.
	RecordUnreachable(now time.Time, g *balance.Grant)
	// DownSince reports whether the endpoint is known to have gone down at some time
	// after since.
	DownSince(since time.Time, g *balance.Grant) bool
	// Probe reports whether to find out whether an endpoint still runs that has not
	// responded since.
	Probe(now, since time.Time, g *balance.Grant) bool
}

// RetryBudget bounds the retries of a service over all routers.
type RetryBudget interface {
	CountRequest(now time.Time, service string)
	Allow(now time.Time, service string) bool // counts the retry if it allows it
}

// Origins knows which software began each stream.
type Origins interface {
	// Begin records a stream before its first event is passed on. It may wait for that to be saved.
	Begin(ctx context.Context, k origins.Key, o origins.Origin)
	// Find returns the origin of a stream that one of services began. It may ask other routers.
	Find(ctx context.Context, k origins.Key, services []string) (origins.Origin, bool)
}

// Observer receives the record of each request, and the events of permits.
type Observer interface {
	Request(rec *Record)
	Permit(e PermitEvent)
}

// Links knows which services this router reaches, and which other routers do.
type Links interface {
	// Failed records that an endpoint accepted no connection or ended one without a response.
	Failed(now time.Time, g *balance.Grant)
	// Late records that the response of an endpoint is late. The endpoint may be slow.
	Late(now time.Time, g *balance.Grant)
	// Connected records that an endpoint accepted a connection.
	Connected(now time.Time, g *balance.Grant)
	// Proved records a response of an endpoint.
	Proved(now time.Time, g *balance.Grant)
	// Conclude calls conclusion, which blames the endpoint for a failure, once another endpoint
	// shows that this router's links work.
	Conclude(ctx context.Context, g *balance.Grant, conclusion func())
	// UseRelay reports whether a request for a service goes through another router.
	UseRelay(now time.Time, service string, repeatable bool) bool
	// AcquireRelay chooses another router for a request, without those in exclude. ReleaseRelay ends it.
	AcquireRelay(now time.Time, service string, exclude []string) (addr string, ok bool)
	ReleaseRelay(addr string)
}
