package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// counting answers every call and counts the messages without one.
type counting struct{ notices atomic.Int64 }

func (h *counting) Handle(from string, m *peerpb.Envelope, reply Reply) {
	if reply == nil {
		h.notices.Add(1)
		return
	}
	reply(&peerpb.Envelope{Body: &peerpb.Envelope_PlaceReply{PlaceReply: &peerpb.PlaceReply{Endpoint: from}}})
}

func listen(c *qt.C, handler Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := NewServer(handler, &Traffic{}, nil)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Stop)
	return netip.MustParseAddrPort(listener.Addr().String())
}

func query() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_PlaceQuery{PlaceQuery: &peerpb.PlaceQuery{Chat: 1}}}
}

func TestOneMessageMayGoToManyRouters(t *testing.T) {
	c := qt.New(t)
	handler := &counting{}
	links := NewLinks("a", &Traffic{}, nil)
	defer links.Close()
	addresses := []netip.AddrPort{listen(c, handler), listen(c, handler), listen(c, handler)}
	const rounds = 100
	for range rounds {
		message := query()
		for _, address := range addresses {
			links.Send(address, message)
		}
	}
	for deadline := time.Now().Add(time.Minute); handler.notices.Load() < rounds*3; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

func TestCallsAreAnsweredAndABrokenLinkIsReplaced(t *testing.T) {
	c := qt.New(t)
	traffic := &Traffic{}
	links := NewLinks("a", traffic, nil)
	defer links.Close()
	address := listen(c, &counting{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := links.Call(ctx, address, query())
	c.Assert(err, qt.IsNil)
	c.Check(answer.GetPlaceReply().GetEndpoint(), qt.Equals, "a")
	c.Check(traffic.Sent() > 0, qt.IsTrue)
	c.Check(traffic.SentByType()["place_query"] > 0, qt.IsTrue)

	links.mu.Lock()
	links.links[address].stop()
	links.mu.Unlock()
	for err = ErrBroken; err != nil && ctx.Err() == nil; {
		_, err = links.Call(ctx, address, query())
	}
	c.Check(err, qt.IsNil)
}

func TestSilentRouterIsATimeoutAndItsLinkEnds(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	links := NewLinks("a", &Traffic{}, nil)
	defer links.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = links.Call(ctx, netip.MustParseAddrPort(listener.Addr().String()), query())
	c.Check(err, qt.Equals, ErrTimeout)
	for deadline := time.Now().Add(time.Minute); links.Count() > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}
