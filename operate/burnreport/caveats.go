package burnreport

import (
	"fmt"
	"strings"
	"time"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/process/burn"
)

// caveats describes what the figures do not include.
func caveats(r Report, counters api.Burn) []string {
	notes := []string{
		fmt.Sprintf("Counting begins at %s, the start of the oldest router process that is known. Hosts store nothing, so earlier counts are lost.",
			r.Since.UTC().Format(time.RFC3339)),
	}
	if r.Routers.Lost > 0 {
		notes = append(notes, fmt.Sprintf("%s without a final report. What each counted in up to %v before its end is missing.",
			processes(r.Routers.Lost), burn.ReplicationInterval))
	}
	if r.Routers.Unresponsive > 0 {
		notes = append(notes, fmt.Sprintf("These live routers did not answer; their figures are the last ones replicated to other routers: %s.", strings.Join(counters.Unresponsive, ", ")))
	}
	if len(counters.Unknown) > 0 {
		notes = append(notes, fmt.Sprintf("No counts of these live routers are known: %s.", strings.Join(counters.Unknown, ", ")))
	}
	if counters.Dropped > 0 {
		notes = append(notes, fmt.Sprintf("%d records of ended routers were dropped for their age or number.", counters.Dropped))
	}
	return append(notes,
		fmt.Sprintf("A router that was lost together with the %d routers that held replicas of its counts is not in the figures.", burn.ReplicaCount),
		"Requests that reached no router are not counted, nor are those refused for a fault of the caller.",
		"Minutes are those of each router's own clock.",
	)
}

func processes(n int) string {
	if n == 1 {
		return "One router process ended"
	}
	return fmt.Sprintf("%d router processes ended", n)
}
