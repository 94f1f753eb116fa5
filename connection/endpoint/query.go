package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/endpoint/protocol"
)

const (
	// maxReportBytes bounds load reports and pages of cache events.
	maxReportBytes = 1 << 20
	// maxCacheBytes bounds one exported KV cache.
	maxCacheBytes = 256 << 20
)

// Load asks the endpoint at address for its load report.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (protocol.LoadReport, error) {
	var report protocol.LoadReport
	err := c.get(ctx, address, protocol.PathLoad, &report)
	return report, err
}

// CacheEvents asks the endpoint for the cache events from sequence number from on.
func (c *Client) CacheEvents(ctx context.Context, address netip.AddrPort, from uint64) (protocol.CacheEvents, error) {
	var events protocol.CacheEvents
	path := protocol.PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	err := c.get(ctx, address, path, &events)
	return events, err
}

// Cancel cancels the request at the endpoint. It runs even if ctx has ended.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, id string) error {
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	response, err := c.send(ctx, http.MethodDelete, address, protocol.PathRequests+id, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Order sends an order. It returns an error unless the endpoint accepted it.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order protocol.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := c.send(ctx, http.MethodPost, address, protocol.PathOrders, body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// MoveCache copies the KV cache of session from one endpoint to another.
func (c *Client) MoveCache(ctx context.Context, from, to netip.AddrPort, session string) error {
	body, err := json.Marshal(protocol.CacheExport{Session: session})
	if err != nil {
		return errors.WithStack(err)
	}
	exported, err := c.send(ctx, http.MethodPost, from, protocol.PathCacheExport, body)
	if err != nil {
		return err
	}
	defer func() { _ = exported.Body.Close() }()
	cache, err := io.ReadAll(io.LimitReader(exported.Body, c.maxCacheBytes+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if int64(len(cache)) > c.maxCacheBytes {
		return errors.Errorf("KV cache of %s has over %d bytes; it is not moved", session, c.maxCacheBytes)
	}
	imported, err := c.send(ctx, http.MethodPost, to, protocol.PathCacheImport, cache)
	if err != nil {
		return err
	}
	return imported.Body.Close()
}

// Resume continues the stream of r from the event with the given offset on. It uses a
// new connection, as an earlier response may bear the same id. The caller must close
// the response's body.
func (c *Client) Resume(ctx context.Context, r *Request, offset int) (*Response, error) {
	resume := *r
	resume.Method = http.MethodGet
	resume.Path = protocol.PathRequests + r.ID + "/stream?offset=" + strconv.Itoa(offset)
	resume.Body = nil
	resume.Header = nil
	resume.newConnection = true
	response, refusal := c.Do(ctx, &resume)
	if refusal != nil {
		return nil, refusal
	}
	if response.Status != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("resume refused with status %d", response.Status)
	}
	return response, nil
}

func (c *Client) get(ctx context.Context, address netip.AddrPort, path string, into any) error {
	response, err := c.send(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return errors.WithStack(json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into))
}

// send makes one round trip. It returns an error for a status of 300 or more.
func (c *Client) send(ctx context.Context, method string, address netip.AddrPort, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address.String()+path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.calls.Do(request, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		_ = response.Body.Close()
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	return response, nil
}

// StatusError is returned for a response with a status of 300 or more.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "endpoint responded with status " + strconv.Itoa(e.Status)
}
