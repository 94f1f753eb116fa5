package histories

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/lab/sim"
	"github.com/stoatmount/stoatmount/process/configlog"
)

var errUnreachable = errors.New("cut off")

func offset(n uint64) platformclient.Offset { return platformclient.Offset(n) }

// processNetwork is the log and the peers as far as one process can reach them.
type processNetwork struct {
	history *history
	process *process
}

// Append implements platformclient.Log.
func (n processNetwork) Append(ctx context.Context, stream string, records [][]byte) (platformclient.Offset, error) {
	if n.history.logDown[n.process.router] {
		return 0, &platformclient.AppendError{Cause: errUnreachable}
	}
	return n.history.log.Append(ctx, stream, records)
}

// Read implements platformclient.Log.
func (n processNetwork) Read(ctx context.Context, stream string, from platformclient.Offset, limit int, _ time.Duration) (platformclient.Page, error) {
	if n.history.logDown[n.process.router] {
		return platformclient.Page{}, errUnreachable
	}
	return n.history.log.Read(ctx, stream, from, limit, 0)
}

// Members implements configlog.Peers.
func (n processNetwork) Members() ([]configlog.Member, bool) {
	known, ok := n.process.table.KnownMembers()
	var members []configlog.Member
	for _, m := range known {
		members = append(members, configlog.Member{Name: m.Name, Region: m.Region})
	}
	return members, ok
}

// Pull implements configlog.Peers. The links in both directions must be up.
func (n processNetwork) Pull(_ context.Context, name string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	h := n.history
	to := h.fleet.Find(name)
	if !to.Up || to.Paused || h.blocked[link(n.process.router, to)] || h.blocked[link(to, n.process.router)] {
		return nil, errUnreachable
	}
	return h.processes[to].follower.ServePage(from), nil
}

func link(from, to *sim.Router) [2]*sim.Router {
	return [2]*sim.Router{from, to}
}
