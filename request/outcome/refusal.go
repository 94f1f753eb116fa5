package outcome

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Refusal is the error of a request that gets no complete response. Run is about
// the request as a whole, not its last attempt, except in serve between attempts.
type Refusal struct {
	Code       Code
	Run        Run
	Detail     string        // what was wrong, for the caller; must not contain secrets
	RetryAfter time.Duration // when to retry; 0 if unknown
	Address    string        // another entry host to use, if any
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%d %s (%s)", int(r.Code), r.Code, r.Run)
	}
	return fmt.Sprintf("%d %s (%s): %s", int(r.Code), r.Code, r.Run, r.Detail)
}

// NotRun returns a refusal of a request that no endpoint has executed.
func NotRun(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Run: RunNot, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that may have been executed.
func Unknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Run: RunUnknown, Detail: fmt.Sprintf(format, args...)}
}

// Ran returns a refusal of a request that has been executed but whose response
// cannot be delivered.
func Ran(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Run: RunDone, Detail: fmt.Sprintf(format, args...)}
}

// AsRefusal finds a Refusal in err's chain.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
