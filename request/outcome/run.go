package outcome

import "github.com/pkg/errors"

// Run tells whether an endpoint executed a request, over all its attempts.
type Run int

// The values of Run. The zero value is RunUnknown, so that a missing assignment
// never claims more than is known.
const (
	// RunUnknown means that bytes may have reached an endpoint and no definite
	// response was received.
	RunUnknown Run = iota
	// RunNot means that no endpoint has executed or will execute the request.
	RunNot
	// RunDone means that an endpoint executed the request.
	RunDone
)

// String returns the form used in JSON bodies and logs.
func (r Run) String() string {
	switch r {
	case RunNot:
		return "not_run"
	case RunDone:
		return "ran"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (r Run) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Run) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*r = RunNot
	case "ran":
		*r = RunDone
	case "unknown":
		*r = RunUnknown
	default:
		return errors.Errorf("unknown run state %q", text)
	}
	return nil
}

// Combine returns the Run of a request with two attempts: RunDone if either ran,
// otherwise RunUnknown if either is unknown, otherwise RunNot.
func Combine(a, b Run) Run {
	if a == RunDone || b == RunDone {
		return RunDone
	}
	if a == RunUnknown || b == RunUnknown {
		return RunUnknown
	}
	return RunNot
}
