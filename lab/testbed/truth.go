package testbed

// Stats is what the stand-ins know, summed over all endpoints.
type Stats struct {
	Executions       int // requests taken in
	Refused          int // refused as not run
	Crashes          int
	RepeatedKeys     int // keys executed more than once
	WorstOverrun     int // largest excess of an endpoint over its true capacity
	WorstColdOverrun int // the same, of a cold engine
	PromptTokens     int64
	CachedTokens     int64
	Appends          int // to the log
	BusiestAppends   int // most appends within one second
}

// Stats returns what the stand-ins know.
func (s *Testbed) Stats() Stats {
	log := s.Log.Stats()
	t := Stats{Appends: log.Appends, BusiestAppends: log.PeakAppends}
	for _, e := range s.Endpoints {
		if e.Service != nil {
			t.addService(e)
			continue
		}
		t.addEngine(e)
	}
	t.RepeatedKeys = s.repeatedKeys()
	return t
}

func (t *Stats) addService(e *Endpoint) {
	record := e.Service.Stats()
	t.Executions += record.Executions
	t.Refused += record.Refused
	t.Crashes += record.Crashes
	t.WorstOverrun = max(t.WorstOverrun, record.WorstOverrun)
}

func (t *Stats) addEngine(e *Endpoint) {
	record := e.Engine.Stats()
	t.Executions += record.Arrivals
	t.Refused += record.Refused
	t.Crashes += record.Crashes
	t.WorstOverrun = max(t.WorstOverrun, record.WorstOverrun)
	t.WorstColdOverrun = max(t.WorstColdOverrun, record.WorstColdOverrun)
	t.PromptTokens += record.PromptTokens
	t.CachedTokens += record.CachedTokens
}

// repeatedKeys counts the keys that were executed more than once, at one
// service or at several.
func (s *Testbed) repeatedKeys() int {
	seen := make(map[string]int)
	repeated := 0
	for _, e := range s.Endpoints {
		if e.Service == nil {
			continue
		}
		for _, execution := range e.Service.Executions() {
			if execution.Key == "" {
				continue
			}
			seen[execution.Key]++
			if seen[execution.Key] == 2 {
				repeated++
			}
		}
	}
	return repeated
}

// Executions returns how often a request was executed over all endpoints: by
// its key if it has one, otherwise by the caller's own name for it. Engines
// know no keys.
func (s *Testbed) Executions(name, key string) int {
	n := 0
	for _, e := range s.Endpoints {
		switch {
		case e.Engine != nil:
			n += e.Engine.ArrivalsByUser(name)
		case key != "":
			n += e.Service.ExecutionsByKey(key)
		default:
			n += e.Service.ExecutionsByUser(name)
		}
	}
	return n
}

// SampleLoad notes the requests in progress at every endpoint, for LoadSkew.
func (s *Testbed) SampleLoad() {
	for _, e := range s.Endpoints {
		e.samples++
		e.inSample += e.InProgress()
	}
}

// LoadSkew returns the largest load of an endpoint over the mean load of its
// group, each taken over all samples; 0 without load.
func (s *Testbed) LoadSkew() float64 {
	sums, counts := make(map[string]int), make(map[string]int)
	for _, e := range s.Endpoints {
		sums[e.Group()] += e.inSample
		counts[e.Group()]++
	}
	skew := 0.0
	for _, e := range s.Endpoints {
		if sum := sums[e.Group()]; sum > 0 {
			mean := float64(sum) / float64(counts[e.Group()])
			skew = max(skew, float64(e.inSample)/mean)
		}
	}
	return skew
}
