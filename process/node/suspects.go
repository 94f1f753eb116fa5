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

// homeTime bounds a question to the home of a fingerprint or chat.
const homeTime = 250 * time.Millisecond

// homeOf reports whether this router is the home of f.
func (n *Node) homeOf(now time.Time, f suspect.Fingerprint) bool {
	home, ok := n.members.OwnerFor(now, member.DutySuspect, f.Key())
	return ok && home.Name == n.self.Name
}

// clear asks the home of the request's fingerprint whether it may run at the
// endpoint of p. A refusal may bind the next round to another endpoint.
func (a *acquisition) clear(ctx context.Context, p *permit) *outcome.Refusal {
	n := a.node
	if a.bound != nil && a.bound.endpoint == p.endpoint.Name {
		p.asked = true
		a.bound = nil
		return nil
	}
	verdict := n.suspects.Verdict(n.clock.Now(), a.job.Fingerprint)
	if verdict == suspect.Blocked {
		return outcome.NotRun(outcome.RequestConvicted, "the same request has crashed endpoints")
	}
	reply := n.askHome(ctx, &peerpb.Suspect{
		Fingerprint: uint64(a.job.Fingerprint), Endpoint: p.endpoint.Name, Boot: p.boot, Alone: p.alone,
	})
	if reply == nil {
		if verdict == suspect.None {
			return nil
		}
		return outcome.NotRun(outcome.OwnerUnreachable, "the request is under suspicion and its home does not answer")
	}
	return a.obey(p, reply)
}

// obey applies the home's answer.
func (a *acquisition) obey(p *permit, reply *peerpb.SuspectReply) *outcome.Refusal {
	wait := time.Duration(reply.GetWaitMs()) * time.Millisecond
	if suspect.Verdict(reply.GetVerdict()) == suspect.Blocked {
		refusal := outcome.NotRun(outcome.RequestConvicted, "the same request has crashed endpoints")
		refusal.RetryAfter = wait
		return refusal
	}
	if wait > 0 {
		a.pause = wait
		return outcome.NotRun(outcome.EndpointAtCap, "the request is under suspicion and waits for its turn")
	}
	alone := suspect.Verdict(reply.GetVerdict()) == suspect.Suspected
	elsewhere := reply.GetEndpoint() != "" && reply.GetEndpoint() != p.endpoint.Name
	if !elsewhere && !alone {
		p.asked = true
		return nil
	}
	a.bound = &binding{endpoint: p.endpoint.Name, alone: alone}
	if elsewhere {
		a.bound.endpoint = reply.GetEndpoint()
	}
	return outcome.NotRun(outcome.EndpointAtCap, "the request has to run at endpoint %s", a.bound.endpoint)
}

// askHome asks the home of the message's fingerprint and, if it does not
// answer, the next home. It returns nil if neither answers.
func (n *Node) askHome(ctx context.Context, m *peerpb.Suspect) *peerpb.SuspectReply {
	now := n.clock.Now()
	home, ok := n.members.OwnerFor(now, member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
	if !ok {
		return nil
	}
	if reply := n.askSuspect(ctx, home, m); reply != nil {
		return reply
	}
	next, ok := n.nextHome(now, home, m)
	if !ok {
		return nil
	}
	return n.askSuspect(ctx, next, m)
}

// nextHome returns the member that would be home of the message's fingerprint
// without home.
func (n *Node) nextHome(now time.Time, home member.Member, m *peerpb.Suspect) (member.Member, bool) {
	var others []member.Member
	for _, other := range n.members.Live(now) {
		if other.Name != home.Name {
			others = append(others, other)
		}
	}
	return member.NewView(others).Owner(member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
}

// askSuspect asks one router about a fingerprint. It returns nil if there is no
// answer.
func (n *Node) askSuspect(ctx context.Context, asked member.Member, m *peerpb.Suspect) *peerpb.SuspectReply {
	if asked.Name == n.self.Name {
		return n.answerSuspect(n.clock.Now(), m)
	}
	ctx, cancel := context.WithTimeout(ctx, homeTime)
	defer cancel()
	reply, err := n.links.Call(ctx, asked.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
	if err != nil {
		return nil
	}
	return reply.GetSuspectReply()
}

// answerSuspect answers as the home of a fingerprint or, to a router that
// cannot reach the home, as the next one.
func (n *Node) answerSuspect(now time.Time, m *peerpb.Suspect) *peerpb.SuspectReply {
	if !n.homeOf(now, suspect.Fingerprint(m.GetFingerprint())) {
		return n.suspects.HandleAsStandby(now, m).Reply
	}
	result := n.suspects.Handle(now, m)
	n.spread(now, result)
	return result.Reply
}

// tellSuspectHome tells the home how a request went. A loss is told to the
// next home as well, in case the home is lost too.
func (n *Node) tellSuspectHome(m *peerpb.Suspect) {
	now := n.clock.Now()
	home, ok := n.members.OwnerFor(now, member.DutySuspect, suspect.Fingerprint(m.GetFingerprint()).Key())
	if !ok {
		return
	}
	if m.GetCrashed() {
		n.tellNextHome(now, home, m)
	}
	if home.Name == n.self.Name {
		n.spread(now, n.suspects.Handle(now, m))
		return
	}
	n.links.Send(home.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
}

// tellNextHome tells a loss to the next home, and remembers it here.
func (n *Node) tellNextHome(now time.Time, home member.Member, m *peerpb.Suspect) {
	if home.Name != n.self.Name {
		n.suspects.ApplyNotice(now, m)
	}
	next, ok := n.nextHome(now, home, m)
	if ok && next.Name != n.self.Name {
		n.links.Send(next.Peer, &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: m}})
	}
}

// Crashed implements serve.Fleet.
func (n *Node) Crashed(_ *serve.Job, endpoint string, boot uint64) {
	for _, m := range n.running.EndpointLost(endpoint, boot) {
		n.tellSuspectHome(m)
	}
}

// spread sends on what the home has to tell others.
func (n *Node) spread(now time.Time, result suspect.Result) {
	if result.Notice == nil {
		return
	}
	message := &peerpb.Envelope{Body: &peerpb.Envelope_Suspect{Suspect: result.Notice}}
	for _, m := range n.spreadTo(now, result) {
		n.links.Send(m.Peer, message)
	}
}

func (n *Node) spreadTo(now time.Time, result suspect.Result) []member.Member {
	if result.Forward == suspect.ForwardToAll {
		return n.roster.others()
	}
	next, ok := n.nextHome(now, n.self, result.Notice)
	if !ok {
		return nil
	}
	return []member.Member{next}
}
