package peer

import "github.com/stoatmount/stoatmount/connection/peer/peerpb"

// Reply sends the answer to one call. It may be called later and from any
// goroutine, at most once.
type Reply func(*peerpb.Envelope)

// Handler receives the messages of other routers.
type Handler interface {
	// Handle takes one message of the router called from. It must not block.
	// reply is nil if the sender expects no answer.
	Handle(from string, message *peerpb.Envelope, reply Reply)
}
