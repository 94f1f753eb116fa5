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

var errCutOff = errors.New("cut off")

func offset(n uint64) platformclient.Offset { return platformclient.Offset(n) }

// reach is the log and the peers as one host reaches them.
type reach struct {
	world *world
	host  *host
}

// Append implements platform.Log.
func (r reach) Append(ctx context.Context, stream string, records [][]byte) (platformclient.Offset, error) {
	if r.world.noLog[r.host.router] {
		return 0, &platformclient.AppendError{Cause: errCutOff}
	}
	return r.world.log.Append(ctx, stream, records)
}

// Read implements platform.Log.
func (r reach) Read(ctx context.Context, stream string, from platformclient.Offset, limit int, _ time.Duration) (platformclient.Page, error) {
	if r.world.noLog[r.host.router] {
		return platformclient.Page{}, errCutOff
	}
	return r.world.log.Read(ctx, stream, from, limit, 0)
}

// Members implements configlog.Peers.
func (r reach) Members() ([]configlog.Member, bool) {
	known, ok := r.host.table.KnownMembers()
	var members []configlog.Member
	for _, m := range known {
		members = append(members, configlog.Member{Name: m.Name, Region: m.Region})
	}
	return members, ok
}

// Pull implements configlog.Peers. A question and its answer must both get
// through.
func (r reach) Pull(_ context.Context, name string, from platformclient.Offset) (*peerpb.ConfigPage, error) {
	w := r.world
	to := w.fleet.Find(name)
	if !to.Up || to.Paused || w.blocked[link(r.host.router, to)] || w.blocked[link(to, r.host.router)] {
		return nil, errCutOff
	}
	return w.hosts[to].follower.ServePage(from), nil
}

func link(from, to *sim.Router) [2]*sim.Router {
	return [2]*sim.Router{from, to}
}
