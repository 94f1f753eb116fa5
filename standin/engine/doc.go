// Package engine is a stand-in for a model engine: continuous batching, a
// limited prefix cache, cold starts, priorities, streams that can be resumed
// and cancelled, export and import of cached prefixes, delayed cache events and
// load reports, and orders to serve another model. Its responses are a function of
// the request, so that a caller can check them; see ExpectedResponse.
//
// One mutex guards the whole engine. A single loop steps the batch.
package engine
