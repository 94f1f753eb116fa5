// Package peer carries messages between routers over gRPC. Each pair of
// routers shares one stream per direction, and messages that are ready
// together travel in one batch.
//
// Locks: Links.mu guards the table of links; link.mu guards the calls in
// progress of one link. Links.mu is acquired before link.mu and neither is held
// while a message is handled or sent.
package peer
