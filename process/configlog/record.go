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
	// OpRestore replaces the configuration and all out-of-service marks,
	// whatever version is in force. It recovers from a log whose records expired
	// while no router had the configuration: nothing else lets a router start.
	OpRestore Op = "restore"
)

// Change is an operator's change as recorded in the log.
type Change struct {
	ID          string                `json:"id"`
	Base        config.Version        `json:"base"`             // version that the change is based on
	ObservedEnd platformclient.Offset `json:"seen"`             // end of the stream when the change was made
	Author      string                `json:"author"`           // operator who made the change, for the history
	At          time.Time             `json:"at"`               // when the change was made, by the router's clock
	Reason      string                `json:"reason"`           // free text, for the history
	Op          Op                    `json:"op"`               // what the change does
	Config      *config.Config        `json:"config,omitempty"` // OpPush and OpRestore
	Target      *config.Target        `json:"target,omitempty"` // OpTakeOut and OpBringBack
}

// NewChangeID returns a unique ID for a Change.
func NewChangeID() string {
	return uuid.NewString()
}

// Checkpoint is the complete state of a Fold. A router can start from it without
// the records before Next.
type Checkpoint struct {
	Next         platformclient.Offset `json:"next"` // first record that is not included
	State        config.State          `json:"state"`
	Entries      []Entry               `json:"entries"`
	FloorOffset  platformclient.Offset `json:"floor_offset"`  // see Fold
	FloorVersion config.Version        `json:"floor_version"` // see Fold
}

// formatVersion is the version of the record format and of the rules that are
// applied to records. A router that reads a newer one stops applying records, as
// it could decide differently from the others.
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

// Entry is a decided change, as kept in the history.
type Entry struct {
	ID       string                `json:"id"`
	Offset   platformclient.Offset `json:"offset"`
	Base     config.Version        `json:"base"`
	Author   string                `json:"author"`
	Reason   string                `json:"reason"`
	At       time.Time             `json:"at"` // by the log's clock
	Op       Op                    `json:"op"`
	Target   *config.Target        `json:"target,omitempty"`
	Decision Decision              `json:"verdict"`
}

// Decision is the decision on a change.
type Decision struct {
	Accepted bool             `json:"accepted"`
	Version  config.Version   `json:"version"` // version in force after the change
	Code     outcome.Code     `json:"code"`    // reason for a rejection
	Detail   string           `json:"detail,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}
