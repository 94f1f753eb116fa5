package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/lock"
)

const (
	// pingInterval is the idle time after which a connection is probed. gRPC
	// allows no less on the client's side.
	pingInterval = 10 * time.Second
	// pingTimeout bounds the wait for the response to a probe.
	pingTimeout = 3 * time.Second
	// bufferBytes is the size of the buffers of one connection.
	bufferBytes = 4 << 10
	// maxMessageBytes bounds one batch.
	maxMessageBytes = 8 << 20
	// maxDialBackoff is the longest pause between attempts to connect.
	maxDialBackoff = 2 * time.Second
)

// Errors of calls. ErrNotSent means that the message was certainly not sent.
var (
	ErrNotSent = errors.New("message to the router was not sent")
	ErrBroken  = errors.New("link to the router broke before the reply arrived")
	ErrTimeout = errors.New("router did not reply in time") // the context ended before the reply
)

// Links holds the outgoing links of one router. It is safe for concurrent use.
type Links struct {
	self    string
	traffic *Traffic
	creds   credentials.TransportCredentials

	mu     lock.Mutex[lock.PeerLinks]
	links  map[netip.AddrPort]*link
	closed bool
}

// NewLinks returns the links of the router named self. creds may be nil for
// connections without TLS.
func NewLinks(self string, traffic *Traffic, creds credentials.TransportCredentials) *Links {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Links{self: self, traffic: traffic, creds: creds, links: make(map[netip.AddrPort]*link)}
}

// Call sends message to the router at address and waits for the reply.
func (l *Links) Call(ctx context.Context, address netip.AddrPort, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	target, err := l.link(address)
	if err != nil {
		return nil, err
	}
	return target.call(ctx, message)
}

// Send sends message to the router at address without expecting a reply. The
// message is dropped if the queue is full. It may be sent to several routers and
// must not be changed afterwards.
func (l *Links) Send(address netip.AddrPort, message *peerpb.Envelope) {
	target, err := l.link(address)
	if err != nil {
		return
	}
	target.out.enqueue(&peerpb.Envelope{Body: message.GetBody()})
}

// Close closes all links.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	links := l.links
	l.links = make(map[netip.AddrPort]*link)
	l.mu.Unlock()
	for _, target := range links {
		target.stop()
	}
}

// Count returns the number of open links.
func (l *Links) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.links)
}

func (l *Links) link(address netip.AddrPort) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrNotSent
	}
	if target, ok := l.links[address]; ok {
		return target, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address.String(), l.dialOptions()...)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	target := newLink(l.self, conn, l.traffic)
	l.links[address] = target
	target.start(func() { l.remove(address, target) })
	return target, nil
}

func (l *Links) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(l.creds),
		grpc.WithStatsHandler(l.traffic),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxDialBackoff},
			MinConnectTimeout: maxDialBackoff,
		}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
	}
}

// remove removes a link that has ended, so that the next message opens a new one.
func (l *Links) remove(address netip.AddrPort, target *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == target {
		delete(l.links, address)
	}
}
