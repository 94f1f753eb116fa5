package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

// link is one outgoing stream. It ends at the first failure; the next message
// opens a new link.
type link struct {
	self         string
	conn         *grpc.ClientConn
	out          *outbox
	ctx          context.Context
	cancel       context.CancelFunc
	lastReceived atomic.Int64 // Unix nanoseconds of the last batch received

	mu       lock.Mutex[lock.PeerLink]
	lastCall uint64 // id of the newest call; the first is 1, as id 0 in a message expects no reply
	calls    map[uint64]chan *peerpb.Envelope
	ended    bool
}

func newLink(self string, conn *grpc.ClientConn, traffic *Traffic) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		self: self, conn: conn, out: newOutbox(traffic),
		ctx: ctx, cancel: cancel,
		calls: make(map[uint64]chan *peerpb.Envelope),
	}
}

// start runs the link in the background. At its end onEnd is called before its calls fail.
func (k *link) start(onEnd func()) {
	go func() {
		k.run()
		onEnd()
		k.end()
	}()
}

func (k *link) run() {
	stream, err := peerpb.NewPeerClient(k.conn).Link(k.ctx)
	if err != nil {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		_ = k.out.run(k.ctx, k.self, stream.Send)
		k.cancel()
	})
	wg.Go(func() {
		k.receive(stream)
		k.cancel()
	})
	wg.Wait()
}

func (k *link) receive(stream grpc.BidiStreamingClient[peerpb.Batch, peerpb.Batch]) {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		k.lastReceived.Store(time.Now().UnixNano())
		for _, reply := range batch.GetEnvelopes() {
			k.deliver(reply)
		}
	}
}

func (k *link) deliver(reply *peerpb.Envelope) {
	k.mu.Lock()
	replies, ok := k.calls[reply.GetCall()]
	delete(k.calls, reply.GetCall())
	k.mu.Unlock()
	if ok {
		replies <- reply
	}
}

// end fails all calls in progress and closes the connection.
func (k *link) end() {
	k.mu.Lock()
	k.ended = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, replies := range calls {
		close(replies)
	}
	_ = k.conn.Close()
}

func (k *link) stop() {
	k.cancel()
}

func (k *link) call(ctx context.Context, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	replies := make(chan *peerpb.Envelope, 1)
	callID, ok := k.register(replies)
	if !ok {
		return nil, ErrNotSent
	}
	message.Call = callID
	started := time.Now()
	if !k.out.enqueue(message) {
		k.unregister(callID)
		return nil, ErrNotSent
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, ErrBroken
		}
		return reply, nil
	case <-ctx.Done():
		k.unregister(callID)
		k.endIfUnresponsive(ctx, started)
		return nil, ErrTimeout
	}
}

// endIfUnresponsive ends the link if a call reached its deadline and no batch at
// all has arrived since it started: the connection may be dead.
func (k *link) endIfUnresponsive(ctx context.Context, started time.Time) {
	timedOut := ctx.Err() == context.DeadlineExceeded
	if timedOut && k.lastReceived.Load() < started.UnixNano() {
		k.cancel()
	}
}

func (k *link) register(replies chan *peerpb.Envelope) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return 0, false
	}
	k.lastCall++
	k.calls[k.lastCall] = replies
	return k.lastCall, true
}

func (k *link) unregister(callID uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls, callID)
}
