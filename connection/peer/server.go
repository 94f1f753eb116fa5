package peer

import (
	"context"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
)

// Server accepts the links of other routers.
type Server struct {
	peerpb.UnimplementedPeerServer
	handler Handler
	traffic *Traffic
}

// NewServer returns a gRPC server that passes messages to handler. creds may be
// nil for connections without TLS.
func NewServer(handler Handler, traffic *Traffic, creds credentials.TransportCredentials) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.StatsHandler(traffic),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             pingInterval / 2, // connections with more frequent pings are closed
			PermitWithoutStream: true,
		}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	server := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(server, &Server{handler: handler, traffic: traffic})
	return server
}

// Link implements the Link method of the Peer service.
func (s *Server) Link(stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Batch]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	out := newOutbox(s.traffic)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		_ = out.run(ctx, "", stream.Send)
	})
	from := ""
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if batch.GetFrom() != "" {
			from = batch.GetFrom()
		}
		for _, message := range batch.GetEnvelopes() {
			s.handler.Handle(from, message, replyTo(out, message.GetCall()))
		}
	}
}

// replyTo returns the function that replies to call, or nil if call is 0: the
// sender expects no reply.
func replyTo(out *outbox, call uint64) Reply {
	if call == 0 {
		return nil
	}
	return func(reply *peerpb.Envelope) {
		reply.Call = call
		out.enqueue(reply) // dropped if the queue is full; the call then times out
	}
}
