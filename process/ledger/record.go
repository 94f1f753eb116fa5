package ledger

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// Claim asks for the right to dispatch the request of Key.
type Claim struct {
	Key         Key
	Attempt     AttemptID
	Fingerprint uint64        // of the request, to tell another use of the key
	MaxDuration time.Duration // how long the request can be in progress at most
}

// Outcome tells what became of an attempt.
type Outcome struct {
	Key      Key
	Attempt  AttemptID
	Run      outcome.Run     // RunNot: it never was and never will be dispatched
	Response *StoredResponse // RunDone: the answer, if it is small enough to be stored
}

// op is what a record does.
type op string

const (
	opClaim   op = "claim"
	opRelease op = "release" // the attempt never was and never will be dispatched
	opDone    op = "done"    // the attempt ran
	opLost    op = "lost"    // the attempt may have run
	opMark    op = "mark"    // tells the log's time only
)

// record is the JSON form of one entry of a shard's stream. A record that is
// there twice has the effect of one.
type record struct {
	Op          op              `json:"op"`
	Key         Key             `json:"k,omitempty"`
	Attempt     AttemptID       `json:"a,omitzero"`
	Fingerprint uint64          `json:"f,omitempty"`
	HoldsMs     int64           `json:"ms,omitempty"`
	Answer      *StoredResponse `json:"r,omitempty"`
}

func (c Claim) record() record {
	return record{Op: opClaim, Key: c.Key, Attempt: c.Attempt, Fingerprint: c.Fingerprint, HoldsMs: c.MaxDuration.Milliseconds()}
}

func (f Outcome) record() record {
	r := record{Key: f.Key, Attempt: f.Attempt}
	switch f.Run {
	case outcome.RunNot:
		r.Op = opRelease
	case outcome.RunDone:
		r.Op = opDone
		if f.Response != nil && len(f.Response.Body) <= MaxResponseBytes {
			r.Answer = f.Response
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

func decode(data []byte) (record, bool) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, false
	}
	return r, r.Key != ""
}
