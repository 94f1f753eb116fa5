package ledger

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Claim requests the right to dispatch the request with Key.
type Claim struct {
	Key         Key
	Attempt     AttemptID
	Fingerprint uint64        // of the request, to detect reuse of the key for another one
	MaxDuration time.Duration // longest time that the request can be in progress
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Key      Key
	Attempt  AttemptID
	Run      outcome.Run     // RunNot: it was not and never will be dispatched
	Response *StoredResponse // RunDone: the response, if it is small enough to be stored
}

// op is the type of a record.
type op string

const (
	opClaim     op = "claim"
	opAbandoned op = "release" // the attempt was not and never will be dispatched
	opDone      op = "done"    // the attempt ran
	opLost      op = "lost"    // the attempt may have run
	opMark      op = "mark"    // has no effect; its time shows the log's clock
)

// record is the JSON form of one entry of a shard's stream. Applying a record
// twice has the effect of applying it once.
type record struct {
	Op            op              `json:"op"`
	Key           Key             `json:"k,omitempty"`
	Attempt       AttemptID       `json:"a,omitzero"`
	Fingerprint   uint64          `json:"f,omitempty"`
	MaxDurationMs int64           `json:"ms,omitempty"`
	Response      *StoredResponse `json:"r,omitempty"`
}

func (c Claim) record() record {
	return record{Op: opClaim, Key: c.Key, Attempt: c.Attempt, Fingerprint: c.Fingerprint, MaxDurationMs: c.MaxDuration.Milliseconds()}
}

func (o Outcome) record() record {
	r := record{Key: o.Key, Attempt: o.Attempt}
	switch o.Run {
	case outcome.RunNot:
		r.Op = opAbandoned
	case outcome.RunDone:
		r.Op = opDone
		if o.Response != nil && len(o.Response.Body) <= MaxResponseBytes {
			r.Response = o.Response
		}
	default:
		r.Op = opLost
	}
	return r
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.WithStack(err)
}

// decode returns false for a record without a key, such as a mark.
func decode(data []byte) (record, bool) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, false
	}
	return r, r.Key != ""
}
