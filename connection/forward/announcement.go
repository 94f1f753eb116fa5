package forward

import "net/http"

// recordAnnouncement records what the endpoint says in its response about the requests that
// it takes.
func (j *job) recordAnnouncement(a *attempt) {
	r := &a.response
	if r.AnnouncedMalformed || r.EndpointID != "" && r.EndpointID != a.grant.ID {
		return
	}
	if j.s.Endpoints.RecordAnnouncement(a.firstAt, a.grant, r.Announced) {
		j.s.OnAnnounced(a.grant, r.Announced)
	}
	if r.NotRun && a.head.Status == http.StatusServiceUnavailable && j.s.Endpoints.RecordRejection(a.firstAt, a.grant) {
		j.s.OnRejection(a.grant)
	}
}
