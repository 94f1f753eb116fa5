package platformclient

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Offset is the position of a record in a stream. The first record of a
// stream has offset 1.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	At     time.Time `json:"at"` // when the log accepted it, by the log's clock
	Data   []byte    `json:"data"`
}

// Page is a range of consecutive records of a stream.
type Page struct {
	First   Offset   `json:"first"` // oldest offset that has not expired
	End     Offset   `json:"end"`   // offset that the next append will get
	Records []Record `json:"records"`
}

// Names of the streams that the fleet uses.
const (
	StreamConfig = "config"
	StreamLedger = "ledger-" // prefix, followed by the number of a shard
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds records in one append and returns the offset of the first.
	// Records of one call get consecutive offsets. On an error MayHaveAppended
	// reports whether the append may have taken effect.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)

	// Read returns up to limit records from offset from on. It waits up to
	// wait for a record if there is none. It returns ErrExpired, with a valid
	// Page.First, if from has expired.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// ErrExpired is returned by Log.Read for an offset whose record has expired.
var ErrExpired = errors.New("log records at this offset have expired")

// AppendError is returned by an append that got no offset.
type AppendError struct {
	MayHaveAppended bool // the records may be in the stream
	Cause           error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.MayHaveAppended {
		return "append may have taken effect: " + e.Cause.Error()
	}
	return "append not made: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error {
	return e.Cause
}

// MayHaveAppended reports whether an append that returned err may have taken effect.
func MayHaveAppended(err error) bool {
	var appendErr *AppendError
	if errors.As(err, &appendErr) {
		return appendErr.MayHaveAppended
	}
	return err != nil
}

// ListedHost is an entry of the platform's list of hosts, which lags behind.
type ListedHost struct {
	Name     string         `json:"name"`
	Peer     netip.AddrPort `json:"peer"`
	Caller   netip.AddrPort `json:"caller"`
	Zone     string         `json:"zone"`
	Region   string         `json:"region"`
	Draining bool           `json:"leaving"`
}

// HostList is the platform's list of live and draining hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
