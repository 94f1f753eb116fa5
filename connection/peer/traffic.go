package peer

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// frameHeaderBytes is the size of an HTTP/2 frame header, in bytes.
const frameHeaderBytes = 9

// Traffic counts the bytes of messages between routers, with the framing of
// gRPC and HTTP/2 but without that of TLS, TCP and IP.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	batches  atomic.Int64

	mu         sync.Mutex // leaf lock; guards sentByType
	sentByType map[string]int64
}

// countBatch adds the messages of a batch to be sent to the counts by type.
func (t *Traffic) countBatch(batch *peerpb.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentByType == nil {
		t.sentByType = make(map[string]int64)
	}
	for _, message := range batch.GetEnvelopes() {
		t.sentByType[typeOf(message)] += int64(proto.Size(message))
	}
}

// typeOf returns the name of the message's body in peer.proto.
func typeOf(message *peerpb.Envelope) string {
	reflected := message.ProtoReflect()
	field := reflected.WhichOneof(reflected.Descriptor().Oneofs().Get(0))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}

// SentByType returns the bytes of the messages sent since start, by message type
// and without framing.
func (t *Traffic) SentByType() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.sentByType)
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
		t.received.Add(int64(event.WireLength + frameHeaderBytes))
		t.batches.Add(1)
	case *stats.OutPayload:
		t.sent.Add(int64(event.WireLength + frameHeaderBytes))
		t.batches.Add(1)
	case *stats.InHeader: // gRPC reports no size for the headers that it sends
		t.received.Add(int64(event.WireLength + frameHeaderBytes))
	}
}
