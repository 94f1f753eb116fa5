package peer

import "github.com/stoatmount/stoatmount/connection/peer/peerpb"

// Reply sends the reply to one call. It may be called later and from any
// goroutine, at most once.
type Reply func(*peerpb.Envelope)

// Handler receives the messages of other routers.
type Handler interface {
	// Handle receives one message; from is the name of the sender. It must not block.
	// reply is nil if the sender expects no reply.
	Handle(from string, message *peerpb.Envelope, reply Reply)
}
