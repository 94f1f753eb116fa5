package node

import (
	"context"
	"time"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/member"
	"github.com/stoatmount/stoatmount/process/suspect"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/request/serve"
)

// homeTimeout bounds a query to the home of a fingerprint or chat.
const homeTimeout = 250 * time.Millisecond

// isHomeOf reports whether this router is the home of f.
func (n *Node) isHomeOf(now time.Time, f suspect.Fingerprint) bool {
	home, ok := n.members.OwnerFor(now, member.DutySuspect, f.Key())
	return ok && home.Name == n.self.Name
}

// requestHomeApproval asks the home of the request's fingerprint whether it may run at
// the endpoint of p. If refused, the home may assign an endpoint for the next round.
func (a *acquisition) requestHomeApproval(ctx context.Context, p *permit) *outcome.Refusal {
	n := a.node
	if a.assigned != nil && a.assigned.endpoint == p.endpoint.Name {
		p.approvedByHome = true
		a.assigned = nil
		return nil
	}
	verdict := n.suspects.Verdict(n.clock.Now(), a.job.Fingerprint)
	if verdict == suspect.Blocked {
		return outcome.NotRun(outcome.RequestConvicted, "the same request has crashed endpoints")
	}
	reply := n.queryHome(ctx, &peerpb.Suspect{
		Fingerprint: uint64(a.job.Fingerprint), Endpoint: p.endpoint.Name, Boot: p.incarnation, Alone: p.alone,
	})
	if reply == nil {
		if verdict == suspect.None {
			return nil
		}
		return outcome.NotRun(outcome.OwnerUnreachable, "the request is under suspicion and its home does not answer")
	}
	return a.applySuspectReply(p, reply)
}

// applySuspectReply returns nil if the request may run now.
func (a *acquisition) applySuspectReply(p *permit, reply *peerpb.SuspectReply) *outcome.Refusal {
	wait := time.Duration(reply.GetWaitMs()) * time.Millisecond
	if suspect.Verdict(reply.GetVerdict()) == suspect.Blocked {
		refusal := outcome.NotRun(outcome.RequestConvicted, "the same request has crashed endpoints")
		refusal.RetryAfter = wait
		return refusal
	}
	if wait > 0 {
		a.backoff = wait
		return outcome.NotRun(outcome.EndpointAtCap, "the request is under suspicion and waits for its turn")
	}
	alone := suspect.Verdict(reply.GetVerdict()) == suspect.Suspected
	elsewhere := reply.GetEndpoint() != "" && reply.GetEndpoint() != p.endpoint.Name
	if !elsewhere && !alone {
		p.approvedByHome = true
		return nil
	}
	a.assigned = &assignment{endpoint: p.endpoint.Name, alone: alone}
	if elsewhere {
		a.assigned.endpoint = reply.GetEndpoint()
	}
	return outcome.NotRun(outcome.EndpointAtCap, "the request has to run at endpoint %s", a.assigned.endpoint)
}

// queryHome asks the home of the message's fingerprint and, if that does not reply,
// the next home. It returns nil if neither replies.
func (n *Node) queryHome(ctx context.Context, m *peerpb.Suspect) *peerpb.SuspectReply {
	now := n.clock.Now()
	home, ok := n.members.OwnerFor(now, member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
	if !ok {
		return nil
	}
	if reply := n.queryRouter(ctx, home, m); reply != nil {
		return reply
	}
	next, ok := n.nextHome(now, home, m)
	if !ok {
		return nil
	}
	return n.queryRouter(ctx, next, m)
}

// nextHome returns the member that would be the home of the message's fingerprint
// if home did not exist.
func (n *Node) nextHome(now time.Time, home member.Member, m *peerpb.Suspect) (member.Member, bool) {
	var others []member.Member
	for _, other := range n.members.Live(now) {
		if other.Name != home.Name {
			others = append(others, other)
		}
	}
	return member.NewView(others).Owner(member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
}

// queryRouter asks one router about a fingerprint. It returns nil if there is no
// reply.
func (n *Node) queryRouter(ctx context.Context, router member.Member, m *peerpb.Suspect) *peerpb.SuspectReply {
	if router.Name == n.self.Name {
		return n.answerSuspect(n.clock.Now(), m)
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	reply, err := n.links.Call(ctx, router.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
	if err != nil {
		return nil
	}
	return reply.GetSuspectReply()
}

// answerSuspect answers as the home of a fingerprint or, for a router that cannot
// reach the home, as the next home.
func (n *Node) answerSuspect(now time.Time, m *peerpb.Suspect) *peerpb.SuspectReply {
	if !n.isHomeOf(now, suspect.Fingerprint(m.GetFingerprint())) {
		return n.suspects.HandleAsStandby(now, m).Reply
	}
	result := n.suspects.Handle(now, m)
	n.forwardNotice(now, result)
	return result.Reply
}

// notifySuspectHome sends the home the result of a request. A crash of the endpoint is
// sent to the next home as well, in case the home fails too.
func (n *Node) notifySuspectHome(m *peerpb.Suspect) {
	now := n.clock.Now()
	home, ok := n.members.OwnerFor(now, member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
	if !ok {
		return
	}
	if m.GetCrashed() {
		n.notifyNextHome(now, home, m)
	}
	if home.Name == n.self.Name {
		n.forwardNotice(now, n.suspects.Handle(now, m))
		return
	}
	n.links.Send(home.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
}

// notifyNextHome sends a crash to the next home and records it locally.
func (n *Node) notifyNextHome(now time.Time, home member.Member, m *peerpb.Suspect) {
	if home.Name != n.self.Name {
		n.suspects.ApplyNotice(now, m)
	}
	next, ok := n.nextHome(now, home, m)
	if ok && next.Name != n.self.Name {
		n.links.Send(next.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
	}
}

// informStarted sends what is known of bodies with losses to routers that started since
// the last call. It is called by one goroutine.
func (n *Node) informStarted(now time.Time, live []member.Member) {
	for _, m := range live {
		if m.Name == n.self.Name || m.Incarnation == 0 || n.informed[m.Name] == m.Incarnation {
			continue
		}
		n.informed[m.Name] = m.Incarnation
		for _, notice := range n.suspects.Notices(now) {
			n.links.Send(m.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: notice}})
		}
	}
}

// Crashed implements serve.Dependencies.
func (n *Node) Crashed(_ *serve.Job, endpoint string, incarnation uint64) {
	for _, m := range n.runs.EndpointLost(endpoint, incarnation) {
		n.notifySuspectHome(m)
	}
}

// forwardNotice sends the home's notice to the routers that result.Forward selects.
func (n *Node) forwardNotice(now time.Time, result suspect.Result) {
	if result.Notice == nil {
		return
	}
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: result.Notice}}
	for _, m := range n.forwardTargets(now, result) {
		n.links.Send(m.Peer, message)
	}
}

func (n *Node) forwardTargets(now time.Time, result suspect.Result) []member.Member {
	if result.Forward == suspect.ForwardToAll {
		return n.roster.others()
	}
	next, ok := n.nextHome(now, n.self, result.Notice)
	if !ok {
		return nil
	}
	return []member.Member{next}
}
