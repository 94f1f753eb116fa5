package balance

import "time"

const (
	// waitWeight is how strongly the wait behind prompts raises the load of an engine: a wait as long as the
	// request's objective counts as this multiple of its requests.
	waitWeight = 3
	// maxWaitShare is the part of its objective that a request may wait behind prompts at an engine while
	// others let it begin earlier.
	maxWaitShare = 0.2
	// readFactor is the multiple of the time to read a whole prompt at pace 1 that it may take at an
	// engine that does not cache its key, besides this wait.
	readFactor = 1.25
	// rereadFactor is the multiple of the time to read a prompt's shared parts again that a request
	// waits at the engine that caches them, before it goes to another one.
	rereadFactor = 2
)

// PromptWork describes prompts that the engines of a service read, for one request.
type PromptWork struct {
	Objective   time.Duration // of the request; 0 is unknown
	ServiceTime time.Duration // mean of the service
	TokensPerMS float64       // that an engine reads at pace 1
	Tokens      int           // of the request's prompt
	Shared      int           // those that an engine which caches its key does not read
}

// Apply sets what the prompts that wait at each candidate mean for the request.
func (w PromptWork) Apply(list []Candidate) {
	perService := w.TokensPerMS * float64(w.ServiceTime) / float64(time.Millisecond)
	for i := range list {
		c := &list[i]
		c.readLoad = c.Reading / perService
		c.wait = time.Duration(c.Reading / w.TokensPerMS * c.paceFactor(1) * float64(time.Millisecond))
		if w.Objective > 0 {
			c.waitShare = float64(c.wait) / float64(w.Objective)
			c.readShare = w.share(w.Tokens) * c.paceFactor(1)
		}
	}
}

// Bound returns the bound with the largest waits behind prompts.
func (w PromptWork) Bound(b Bound) Bound {
	if w.Objective <= 0 {
		return b
	}
	b.MaxWait = maxWaitShare + readFactor*w.share(w.Tokens)
	b.MaxHolderWait = maxWaitShare + rereadFactor*w.share(w.Shared)
	return b
}

// share returns the part of the objective that tokens take to read at pace 1.
func (w PromptWork) share(tokens int) float64 {
	return float64(tokens) / w.TokensPerMS * float64(time.Millisecond) / float64(w.Objective)
}

// withoutWaits returns the bound without those on waits behind prompts.
func (b Bound) withoutWaits() Bound {
	b.MaxWait, b.MaxHolderWait = 0, 0
	return b
}

// mayWait reports whether a wait, a share of the objective, is within a bound. As with the load, only the excess
// leaves by old counts.
func (b Bound) mayWait(share, most float64, draw func() float64) bool {
	return b.MaxWait <= 0 || share <= most || Admits(share, most, b.Stale, draw())
}

// holderWaits reports whether a request may wait behind prompts at a candidate that caches its key.
func (b Bound) holderWaits(c *Candidate, draw func() float64) bool {
	return b.mayWait(c.waitShare, b.MaxHolderWait, draw)
}

// newHolderWaits reports whether a request may wait at one that does not, until all of its prompt is read.
func (b Bound) newHolderWaits(c *Candidate, draw func() float64) bool {
	return b.mayWait(c.waitShare+c.readShare, b.MaxWait, draw)
}
