// Package peerpb holds the messages between routers, generated from
// peer.proto.
package peerpb

//go:generate protoc -I../../.. --go_out=../../.. --go_opt=module=github.com/stoatmount/stoatmount --go-grpc_out=../../.. --go-grpc_opt=module=github.com/stoatmount/stoatmount connection/peer/peerpb/peer.proto
