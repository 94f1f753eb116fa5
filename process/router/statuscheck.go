package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/http1"
)

const (
	// statusHeadBytes and statusBodyBytes bound the response to a status check.
	statusHeadBytes = 16 << 10
	statusBodyBytes = 16 << 10
)

// checkStatus sends a status check to those of some endpoints of a service that failed, and returns those
// that respond. A slow endpoint does, one behind a broken link does not.
func (l *endpointLinks) checkStatus(ctx context.Context, service string, endpoints []string) (responding []string) {
	path := l.r.healthPath(service)
	if path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	addrs := l.r.endpoints.Addresses(service)
	responds := make([]bool, len(endpoints))
	var group conc.WaitGroup
	for i, id := range endpoints {
		if l.table.HasFailed(service, id) {
			group.Go(func() { responds[i] = l.responds(ctx, addrs[id], path) })
		}
	}
	group.Wait()
	for i, id := range endpoints {
		if responds[i] {
			responding = append(responding, id)
		}
	}
	return responding
}

// healthPath returns the path of the status checks of a service, or "" if it has none.
func (r *Router) healthPath(service string) string {
	if t := r.table(); t != nil {
		if s := t.Service(service); s != nil {
			return s.HealthPath
		}
	}
	return ""
}

// responds reports whether a status check gets a response, whatever its status.
func (l *endpointLinks) responds(ctx context.Context, addr, path string) bool {
	conn := l.r.pool.Get(addr, time.Now(), nil)
	if conn == nil {
		var err error
		if conn, err = l.r.pool.Dial(ctx, addr, probeTimeout); err != nil {
			return false
		}
	}
	first := !conn.Received() // a later one may be to an earlier request
	if deadline, ok := ctx.Deadline(); ok && conn.SetDeadline(deadline) != nil {
		_ = conn.Close()
		return false
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		_ = conn.Close()
		return false
	}
	head, err := http1.ReadResponse(conn.R, statusHeadBytes, http.MethodGet)
	if err != nil {
		_ = conn.Close()
		return false
	}
	if first && l.onStatus != nil {
		l.onStatus(addr, head)
	}
	body := http1.NewBody(conn.R, head.Length)
	if _, err := body.ReadAll(statusBodyBytes); err != nil || !body.Complete() || head.Close || !first {
		_ = conn.Close()
		return true
	}
	l.r.pool.Put(conn, time.Now(), head.KeepAliveTimeout, 1)
	return true
}

// recordStatus records the pace that the endpoint at an address reports with a status check.
func (r *Router) recordStatus(addr string, head *http1.Head) {
	if response := r.adapter.Codec().DecodeResponse(head); response.Load.Pace > 0 {
		r.endpoints.RecordStatusPace(time.Now(), addr, response.Load.Pace)
	}
}
