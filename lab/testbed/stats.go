package testbed

// Stats holds the counts of the stand-ins, summed over all endpoints.
type Stats struct {
	Executions       int // requests accepted by engines and executed by services
	Refused          int // refused as not run
	Crashes          int
	RepeatedKeys     int // keys executed more than once
	WorstOverrun     int // largest excess of an endpoint over its true capacity
	WorstColdOverrun int // the same, of a cold engine
	PromptTokens     int64
	CachedTokens     int64
	Appends          int // to the log
	PeakAppends      int // most appends within one second
}

// Stats returns the counts of the stand-ins.
func (tb *Testbed) Stats() Stats {
	log := tb.Log.Stats()
	t := Stats{Appends: log.Appends, PeakAppends: log.PeakAppends}
	for _, e := range tb.Endpoints {
		if e.Service != nil {
			t.addService(e)
			continue
		}
		t.addEngine(e)
	}
	t.RepeatedKeys = tb.repeatedKeys()
	return t
}

func (t *Stats) addService(e *Endpoint) {
	stats := e.Service.Stats()
	t.Executions += stats.Executions
	t.Refused += stats.Refused
	t.Crashes += stats.Crashes
	t.WorstOverrun = max(t.WorstOverrun, stats.WorstOverrun)
}

func (t *Stats) addEngine(e *Endpoint) {
	stats := e.Engine.Stats()
	t.Executions += stats.Arrivals
	t.Refused += stats.Refused
	t.Crashes += stats.Crashes
	t.WorstOverrun = max(t.WorstOverrun, stats.WorstOverrun)
	t.WorstColdOverrun = max(t.WorstColdOverrun, stats.WorstColdOverrun)
	t.PromptTokens += stats.PromptTokens
	t.CachedTokens += stats.CachedTokens
}

// repeatedKeys counts the keys executed more than once, at one or several services.
func (tb *Testbed) repeatedKeys() int {
	seen := make(map[string]int)
	repeated := 0
	for _, e := range tb.Endpoints {
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

// Executions returns how often a request was executed over all endpoints. Services count by its key
// if it has one. Otherwise, and at engines, the caller's own id of the request counts.
func (tb *Testbed) Executions(callerRequestID, key string) int {
	n := 0
	for _, e := range tb.Endpoints {
		switch {
		case e.Engine != nil:
			n += e.Engine.ArrivalsByCallerRequestID(callerRequestID)
		case key != "":
			n += e.Service.ExecutionsByKey(key)
		default:
			n += e.Service.ExecutionsByCallerRequestID(callerRequestID)
		}
	}
	return n
}

// SampleLoad records the requests in progress at every endpoint, for LoadSkew.
func (tb *Testbed) SampleLoad() {
	for _, e := range tb.Endpoints {
		e.samples++
		e.sampleSum += e.InProgress()
	}
}

// LoadSkew returns the largest load of an endpoint divided by the mean load of
// its group, each over all samples; 0 without load.
func (tb *Testbed) LoadSkew() float64 {
	sums, counts := make(map[string]int), make(map[string]int)
	for _, e := range tb.Endpoints {
		sums[e.Group()] += e.sampleSum
		counts[e.Group()]++
	}
	skew := 0.0
	for _, e := range tb.Endpoints {
		if sum := sums[e.Group()]; sum > 0 {
			mean := float64(sum) / float64(counts[e.Group()])
			skew = max(skew, float64(e.sampleSum)/mean)
		}
	}
	return skew
}
