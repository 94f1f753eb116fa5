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

// link is one outgoing stream. It ends at the first failure and is replaced by
// a new link.
type link struct {
	self   string
	conn   *grpc.ClientConn
	out    *outbox
	ctx    context.Context
	cancel context.CancelFunc
	heard  atomic.Int64 // Unix nanoseconds of the last batch received

	mu    lock.Mutex[lock.PeerLink]
	next  uint64
	calls map[uint64]chan *peerpb.Envelope
	ended bool
}

func newLink(self string, conn *grpc.ClientConn, traffic *Traffic) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{
		self: self, conn: conn, out: newOutbox(traffic),
		ctx: ctx, cancel: cancel,
		calls: make(map[uint64]chan *peerpb.Envelope),
	}
}

// start runs the link in the background and calls onEnd when it has ended.
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
		k.heard.Store(time.Now().UnixNano())
		for _, answer := range batch.GetEnvelopes() {
			k.deliver(answer)
		}
	}
}

func (k *link) deliver(answer *peerpb.Envelope) {
	k.mu.Lock()
	waiting, ok := k.calls[answer.GetCall()]
	delete(k.calls, answer.GetCall())
	k.mu.Unlock()
	if ok {
		waiting <- answer
	}
}

// end fails all calls in progress and closes the connection.
func (k *link) end() {
	k.mu.Lock()
	k.ended = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, waiting := range calls {
		close(waiting)
	}
	_ = k.conn.Close()
}

func (k *link) stop() {
	k.cancel()
}

func (k *link) call(ctx context.Context, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	waiting := make(chan *peerpb.Envelope, 1)
	number, ok := k.register(waiting)
	if !ok {
		return nil, ErrNotSent
	}
	message.Call = number
	started := time.Now()
	if !k.out.put(message) {
		k.drop(number)
		return nil, ErrNotSent
	}
	select {
	case answer, ok := <-waiting:
		if !ok {
			return nil, ErrBroken
		}
		return answer, nil
	case <-ctx.Done():
		k.drop(number)
		k.suspectSilence(ctx, started)
		return nil, ErrTimeout
	}
}

// suspectSilence ends the link if a call ran into its deadline while nothing
// at all was heard: the connection may be silent for good.
func (k *link) suspectSilence(ctx context.Context, started time.Time) {
	timedOut := ctx.Err() == context.DeadlineExceeded
	if timedOut && k.heard.Load() < started.UnixNano() {
		k.cancel()
	}
}

func (k *link) register(waiting chan *peerpb.Envelope) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return 0, false
	}
	k.next++
	k.calls[k.next] = waiting
	return k.next, true
}

func (k *link) drop(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls, number)
}
