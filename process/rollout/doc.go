// Package rollout decides how a service's traffic moves to an ordered software version:
// which stage a rollout is in, which share of the requests the version gets, and whether
// its answers condemn it. It does no I/O and reads no clock. docs/design/rollouts.md
// gives the reasons.
//
// Any router may condemn a version, from the sum of the counts that all routers report;
// only the coordinator advances the stage. The rules that always hold:
//
//   - The stage of an order only moves forward. StageRolledBack and StageSucceeded are
//     final; which of the two stands is decided by the first record in the store (Adopt).
//   - A bad verdict is kept until the order is replaced or deleted, and every report
//     carries it.
//   - Orders of a service are numbered. A report with a lower number than the router's
//     own order is ignored; one with a higher number replaces it.
//   - A router sends a canary request only while its own canary requests stay within
//     ownShare of canary_share of its own requests, so the sum over all routers does too.
//   - While a router is out of touch or does not know the stage, Gate returns
//     StageUnknown, in which the version gets no requests that other versions can take.
//   - Counts of a router are cumulative within its incarnation. Those of an earlier
//     incarnation are replaced, and those of a router that is gone stay until the order
//     ends.
//
// Lock order: Table.mu is a leaf.
package rollout
