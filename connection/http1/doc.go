// Package http1 reads and writes HTTP/1.1 messages on connections that forward
// requests. net/http is used everywhere else; on the forwarding path it merges
// headers, accepts two framings at once, retries by itself and detects that a
// caller closed its connection only after the request's body was read.
//
// Reading a request is strict: whatever two parsers could frame differently is
// an error, which prevents request smuggling. Reading a response is as strict
// about its framing, since endpoints may send bytes that belong to no request.
package http1
