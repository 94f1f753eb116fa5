// Package engine is a stand-in for a model engine: continuous batching, a
// limited prefix cache, cold starts, priorities, streams that can be resumed
// and cancelled, moves of the KV cache, delayed cache events, delayed load
// reports and orders. Its responses are a function of the request, so that a
// caller can check them; see ExpectedAnswer.
//
// One mutex guards the whole engine. A single loop steps the batch.
package engine
