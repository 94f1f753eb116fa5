package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/connection/peer/peerpb"
	"github.com/stoatmount/stoatmount/process/burn"
	"github.com/stoatmount/stoatmount/process/member"
)

// counters are a router's own counters and the replicas that it stores of others.
type counters struct {
	own      burn.Record
	replicas []burn.Record
	dropped  int
}

func (c *counters) toWire() *peerpb.BurnPage {
	page := &peerpb.BurnPage{Own: burn.ToWire(c.own), Dropped: uint32(c.dropped)}
	for _, record := range c.replicas {
		page.Kept = append(page.Kept, burn.ToWire(record))
	}
	return page
}

func countersFromWire(page *peerpb.BurnPage) *counters {
	c := &counters{own: burn.FromWire(page.GetOwn()), dropped: int(page.GetDropped())}
	for _, record := range page.GetKept() {
		c.replicas = append(c.replicas, burn.FromWire(record))
	}
	return c
}

func (c *Collector) ownCounters(now time.Time) *counters {
	replicas, dropped := c.Replicas.Records(now)
	return &counters{own: c.Recorder.Snapshot(now, time.Time{}), replicas: replicas, dropped: dropped}
}

// Burn implements Controller.
func (c *Collector) Burn(ctx context.Context) api.Burn {
	now := c.Clock.Now()
	local := c.ownCounters(now)
	members := slices.DeleteFunc(slices.Clone(c.Peers.Members()), func(m member.Member) bool { return m.Name == local.own.Host })
	replies := make([]*counters, len(members))
	c.forEach(ctx, members, func(ctx context.Context, i int) {
		replies[i] = c.queryCounters(ctx, members[i])
	})
	result := api.Burn{At: now, Unresponsive: []string{}, Unknown: []string{}}
	lists := [][]burn.Record{{local.own}, local.replicas}
	result.Dropped = local.dropped
	for i, reply := range replies {
		if reply == nil {
			result.Unresponsive = append(result.Unresponsive, members[i].Name)
			continue
		}
		lists = append(lists, []burn.Record{reply.own}, reply.replicas)
		result.Dropped += reply.dropped
	}
	self := member.Member{Name: local.own.Host, Incarnation: local.own.Incarnation}
	c.addRecords(&result, burn.MergeAll(lists...), append(members, self))
	return result
}

// queryCounters returns the counters of a router, or nil if it does not reply.
func (c *Collector) queryCounters(ctx context.Context, to member.Member) *counters {
	data, err := c.Peers.Status(ctx, to, true)
	if err != nil {
		return nil
	}
	page := &peerpb.BurnPage{}
	if err := proto.Unmarshal(data, page); err != nil || page.GetOwn().GetHost() != to.Name {
		return nil
	}
	return countersFromWire(page)
}

// addRecords fills result from the records of all processes: their counts by kind,
// the targets out of service, and the unresponsive routers without a replica.
func (c *Collector) addRecords(result *api.Burn, records []burn.Record, live []member.Member) {
	if snapshot := c.Snapshot(); snapshot != nil {
		result.Out = snapshot.OutOfService
		for i := range snapshot.Config.Kinds {
			kind := &snapshot.Config.Kinds[i]
			result.Kinds = append(result.Kinds, api.KindCounts{Kind: kind.Name, Objective: kind.Objective})
		}
	}
	result.Kinds = SumCounts(result.Kinds, records)
	for _, r := range records {
		isLive := slices.ContainsFunc(live, func(m member.Member) bool { return m.Name == r.Host && m.Incarnation == r.Incarnation })
		result.Processes = append(result.Processes, api.Process{
			Host: r.Host, Incarnation: r.Incarnation, Zone: r.Zone, Started: r.Started, At: r.At, Final: r.Final, Live: isLive,
		})
	}
	for _, unresponsive := range result.Unresponsive {
		known := slices.ContainsFunc(result.Processes, func(p api.Process) bool { return p.Live && p.Host == unresponsive })
		if !known {
			result.Unknown = append(result.Unknown, unresponsive)
		}
	}
}

// SumCounts adds the counts of the records, one for each process, to kinds. Kinds
// that are not configured are appended in the order of their names.
func SumCounts(kinds []api.KindCounts, records []burn.Record) []api.KindCounts {
	configured := len(kinds)
	minutes := make(map[string]map[int64]burn.Counts)
	for _, record := range records {
		for _, counted := range record.Kinds {
			i := slices.IndexFunc(kinds, func(k api.KindCounts) bool { return k.Kind == counted.Kind })
			if i < 0 {
				i = len(kinds)
				kinds = append(kinds, api.KindCounts{Kind: counted.Kind})
			}
			kinds[i].Total = kinds[i].Total.Add(counted.Total)
			sum := minutes[counted.Kind]
			if sum == nil {
				sum = make(map[int64]burn.Counts)
				minutes[counted.Kind] = sum
			}
			for _, minute := range counted.Minutes {
				sum[minute.Unix] = sum[minute.Unix].Add(minute.Counts)
			}
		}
	}
	for i := range kinds {
		kinds[i].Minutes = sortMinutes(minutes[kinds[i].Kind])
	}
	slices.SortFunc(kinds[configured:], func(a, b api.KindCounts) int { return cmp.Compare(a.Kind, b.Kind) })
	return kinds
}

func sortMinutes(sums map[int64]burn.Counts) []burn.Minute {
	minutes := make([]burn.Minute, 0, len(sums))
	for unix, counts := range sums {
		minutes = append(minutes, burn.Minute{Unix: unix, Counts: counts})
	}
	slices.SortFunc(minutes, func(a, b burn.Minute) int { return cmp.Compare(a.Unix, b.Unix) })
	return minutes
}
