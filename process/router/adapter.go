package router

import (
	"context"
	"net/http"
	"time"

	"github.com/stoatmount/stoatmount/connection/forward"
	"github.com/stoatmount/stoatmount/process/feed"
	"github.com/stoatmount/stoatmount/process/origins"
	"github.com/stoatmount/stoatmount/process/peers"
	"github.com/stoatmount/stoatmount/process/quarantine"
	"github.com/stoatmount/stoatmount/process/rollout"
	"github.com/stoatmount/stoatmount/process/upstream"
	"github.com/stoatmount/stoatmount/version/routing"
)

// Topic is one of the keyed topics in the platform's store.
type Topic int

// The topics.
const (
	Operators Topic = iota // configuration and zones out of service
	Endpoints
	Routers
)

// Placements maps prompt keys to the endpoints that cache them.
type Placements map[uint64][]string

// Hints is what earlier processes saved.
type Hints struct {
	Placements Placements
	Crashes    []quarantine.Report
	Versions   origins.History
	Leaving    []upstream.Incarnation // endpoints that announced that they leave
}

// OperatorChange is a record written by operators: a configuration, an order to move a service to
// a version, or a zone that is taken out of service or put back.
type OperatorChange struct {
	Config  *routing.Table // nil if the record is about something else
	Rollout *RolloutChange // the same
	Zone    string
	Out     bool
}

// RolloutChange is an order, or its deletion.
type RolloutChange struct {
	Service string
	Order   *rollout.Order // nil if it was deleted
}

// AddressQuery is a caller's query for router addresses.
type AddressQuery struct{ Host, Zone, Region string }

// Adapter translates the platform's formats and calls.
type Adapter interface {
	Codec() forward.Codec
	Topic(t Topic) feed.Source
	// Register writes this router's own record; nil removes it.
	Register(ctx context.Context, name string, r *peers.Registration) error
	// SaveHints and LoadHints store what processes need that start when no other router
	// is running.
	SaveHints(ctx context.Context, h Hints) error
	LoadHints(ctx context.Context) (Hints, error)
	// SaveBegun appends begun streams of all routers to a log. LoadBegun returns those from an
	// offset on, or from the oldest that is left, and the offset to read on from.
	SaveBegun(ctx context.Context, list []origins.Begun) error
	LoadBegun(ctx context.Context, from int64) (list []origins.Begun, next int64, err error)
	DecodeOperator(r feed.Record) (OperatorChange, error)
	DecodeEndpoint(r feed.Record) (upstream.Change, error)
	DecodeRouter(r feed.Record) (peers.Registration, bool, error) // false if the record was removed
	// DecodeRollout decodes the status of a rollout from a record of Routers; false if it is another one.
	DecodeRollout(r feed.Record) (rollout.Status, bool, error)
	// LoadRollout returns the newest status of a service's rollout, false if there is none that can be read,
	// and the end of the topic. SaveRollout writes a status if the topic still ends there, and reports
	// whether it did.
	LoadRollout(ctx context.Context, service string) (s rollout.Status, present bool, end int64, err error)
	SaveRollout(ctx context.Context, s rollout.Status, at int64) (saved bool, err error)
	// DirectoryHandler answers callers with addresses and the time for which they may
	// be cached. Without addresses the response says that there are none.
	DirectoryHandler(answer func(AddressQuery) ([]string, time.Duration)) http.Handler
	ReadyHandler(ready func() bool) http.Handler
}
