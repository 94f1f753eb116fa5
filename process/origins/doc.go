// Package origins keeps which software version began each stream. What two versions
// write does not fit into one stream, so a broken stream goes on only at an endpoint of
// the version that began it, whichever router the caller takes it up at.
//
// Each router records the streams that it begins and sends them to the others with its
// heartbeats. A router that does not know a stream asks the others. If none knows it,
// the version is still certain where the service has had only one for longer than a
// stream can last. While a service has several versions, one router saves the streams of
// all in a log, so that they are known after all routers were lost at once. What is not in the
// log then began while its service had one version, which the saved History names.
//
// Lock order: Table.mu is a leaf.
package origins
