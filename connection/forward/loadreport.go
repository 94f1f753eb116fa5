package forward

// recordPace records the pace that the endpoint reported with its response, and whether what it
// reported of its load cannot be read.
func (j *job) recordPace(a *attempt) {
	r := &a.response
	if r.LoadMalformed {
		j.rec.MalformedLoads++
	}
	if r.Load.Pace <= 0 || r.EndpointID != "" && r.EndpointID != a.grant.ID {
		return
	}
	j.rec.ReportedPace = r.Load.Pace
	j.s.Endpoints.RecordPace(a.firstAt, a.grant, r.Load.Pace)
}
