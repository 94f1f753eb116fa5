package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// frameBytes is the size of an HTTP/2 frame header, in bytes.
const frameBytes = 9

// Traffic counts the bytes of messages between routers, with the framing of
// gRPC and HTTP/2 but without that of TLS, TCP and IP.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	batches  atomic.Int64
}

// Sent returns the bytes sent since start.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received since start.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Batches returns the number of batches sent and received since start.
func (t *Traffic) Batches() int64 { return t.batches.Load() }

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch event := s.(type) {
	case *stats.InPayload:
		t.received.Add(int64(event.WireLength + frameBytes))
		t.batches.Add(1)
	case *stats.OutPayload:
		t.sent.Add(int64(event.WireLength + frameBytes))
		t.batches.Add(1)
	case *stats.InHeader:
		t.received.Add(int64(event.WireLength + frameBytes))
	}
}
