// Package peer carries messages between routers over gRPC. Each router opens one
// bidirectional stream to each other router, for its messages and the replies to
// its calls. Messages that are ready together are sent in one batch.
//
// Locks: Links.mu guards the table of links; link.mu guards the calls in
// progress of one link. Links.mu is acquired before link.mu and neither is held
// while a message is handled or sent.
package peer
