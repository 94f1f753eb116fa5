// Package engine is a stand-in for a model engine: continuous batching, a
// limited prefix cache, cold starts, priorities, streams that can be resumed
// and cancelled, moves of the KV cache, late cache events, lagged load
// reports and orders. Its answers follow from the request, so that a caller
// can check them; see Expected.
//
// One mutex guards the whole engine. A single loop steps the batch.
package engine
