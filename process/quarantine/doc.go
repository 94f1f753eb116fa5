// Package quarantine bounds the number of endpoints that one request, or one part that
// prompts share, crashes in the whole fleet, without a message on the path of a request.
//
// Requests are identified by the fingerprint of their body, since each attempt of a
// caller has a new id. A run crashed its endpoint if its connection was lost and no
// new connection could be opened. Crashes count one after the other: an attempt
// carries the State that was known when it was sent, and its crash is the one after
// that, or after the last known one if that was some time ago. Copies that are lost
// together, for example with a zone, therefore count as one crash, until a copy that was
// sent later is lost too. A run that completes anywhere starts the count again. A body that
// reaches the limit is refused, but for a trial now and then by one of the routers; the first
// comes after a second if another body was lost with the same endpoints, as one of them may
// be sound.
//
// A part of prompts is at fault though no two requests with it are alike, and whatever ran
// beside them is lost as well. Routers therefore tell one another which runs were lost with
// which endpoint (Loss) and which parts had runs that completed (CompletedPart). From these,
// each router finds the parts that explain the crashes: the one with the best case first,
// whose crashes then count for no other. Such a part is suspected and refused for the moment;
// the loss of one more run, sent as a trial, quarantines it. A quarantined part is a record
// like that of a body, known by the fingerprint of the part.
//
// The routers exchange Reports. Merging keeps the later State, so that reports may be
// lost, repeated or reordered.
//
// Lock order: peers.Table.mu is taken under Table.mu.
package quarantine
