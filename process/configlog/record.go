package configlog

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// Op is what a Change does.
type Op string

// The operations of a Change.
const (
	OpPush      Op = "push" // replaces the configuration
	OpTakeOut   Op = "out"  // takes a target out of service
	OpBringBack Op = "in"   // brings a target back into service
	// OpRestore replaces the configuration and all marks, whatever is in force.
	// It is for a log whose records have expired while no router knew the
	// configuration; without it, no router could start again.
	OpRestore Op = "restore"
)

// Change is an operator's change as it stands in the log.
type Change struct {
	ID          string                `json:"id"`
	Base        config.Version        `json:"base"`             // version the operator saw
	ObservedEnd platformclient.Offset `json:"seen"`             // end of the stream when the change was made
	Author      string                `json:"author"`           // operator, for the history
	At          time.Time             `json:"at"`               // when the change was made, by the router's clock
	Reason      string                `json:"reason"`           // free text, for the history
	Op          Op                    `json:"op"`               //
	Config      *config.Config        `json:"config,omitempty"` // OpPush and OpRestore
	Target      *config.Target        `json:"target,omitempty"` // OpOut and OpIn
}

// NewChangeID returns an id for a Change.
func NewChangeID() string {
	return uuid.NewString()
}

// Checkpoint is the whole state of a fold, so that a router can start without
// the records before Next.
type Checkpoint struct {
	Next         platformclient.Offset `json:"next"` // first record that is not in it
	State        config.State          `json:"state"`
	Entries      []Entry               `json:"entries"`
	FloorOffset  platformclient.Offset `json:"floor_offset"`
	FloorVersion config.Version        `json:"floor_version"`
}

// formatVersion is the version of the records and of the rules by which they
// are judged. A router that reads a newer one stops folding, as it could judge
// otherwise than the others.
const formatVersion = 1

// record is the JSON form of one entry of the stream.
type record struct {
	Format     int         `json:"format"`
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

func encodeChange(c Change) ([]byte, error) {
	data, err := json.Marshal(record{Format: formatVersion, Change: &c})
	return data, errors.WithStack(err)
}

func encodeCheckpoint(c Checkpoint) ([]byte, error) {
	data, err := json.Marshal(record{Format: formatVersion, Checkpoint: &c})
	return data, errors.WithStack(err)
}

// Entry is a judged change, as kept for the history.
type Entry struct {
	ID      string                `json:"id"`
	Offset  platformclient.Offset `json:"offset"`
	Base    config.Version        `json:"base"`
	Author  string                `json:"author"`
	Reason  string                `json:"reason"`
	At      time.Time             `json:"at"` // by the log's clock
	Op      Op                    `json:"op"`
	Target  *config.Target        `json:"target,omitempty"`
	Verdict Verdict               `json:"verdict"`
}

// Verdict is how the fold judged a change.
type Verdict struct {
	Accepted bool             `json:"accepted"`
	Version  config.Version   `json:"version"` // in force after the change
	Code     outcome.Code     `json:"code"`    // why it was rejected
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}
