package platformclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// LogClient appends to and reads the append-only log over HTTP. It is safe for
// concurrent use.
type LogClient struct {
	*serviceClient
}

// NewLogClient returns a client of the log service at o.Address.
func NewLogClient(o ClientOptions) *LogClient {
	return &LogClient{serviceClient: newServiceClient(o)}
}

// AppendBody is the body of an append.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the response to an append.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// maxPageBytes bounds a page of records.
const maxPageBytes = 64 << 20

// Append implements Log. The request is sent at most once: it has no header that
// lets the transport retry it, and its body cannot be rewound.
func (c *LogClient) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	body, err := json.Marshal(AppendBody{Records: records})
	if err != nil {
		return 0, &AppendError{Cause: errors.WithStack(err)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }}
	target := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target, nil)
	if err != nil {
		return 0, &AppendError{Cause: errors.WithStack(err)}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.calls.Do(req, body)
	if err != nil {
		return 0, &AppendError{MayHaveAppended: sent.Load(), Cause: errors.Wrap(err, "append to "+stream)}
	}
	defer drainAndClose(resp.Body)
	return decodeAppend(resp, stream)
}

func decodeAppend(resp *http.Response, stream string) (Offset, error) {
	if resp.StatusCode != http.StatusOK {
		refused := resp.StatusCode/100 == 4 || resp.StatusCode == http.StatusServiceUnavailable
		cause := errors.Errorf("append to %s: status %d", stream, resp.StatusCode)
		return 0, &AppendError{MayHaveAppended: !refused, Cause: cause}
	}
	var reply AppendReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&reply); err != nil {
		return 0, &AppendError{MayHaveAppended: true, Cause: errors.Wrap(err, "append to "+stream)}
	}
	if reply.Offset == 0 {
		return 0, &AppendError{MayHaveAppended: true, Cause: errors.Errorf("append to %s: response without an offset", stream)}
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	target := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, errors.WithStack(err)
	}
	resp, err := c.calls.Do(req, nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read "+stream)
	}
	defer drainAndClose(resp.Body)
	return decodePage(resp, stream)
}

func decodePage(resp *http.Response, stream string) (Page, error) {
	expired := resp.StatusCode == http.StatusGone
	if resp.StatusCode != http.StatusOK && !expired {
		return Page{}, errors.Errorf("read %s: status %d", stream, resp.StatusCode)
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, errors.Wrap(err, "read "+stream)
	}
	if expired {
		return page, ErrExpired
	}
	return page, nil
}

// drainBytes is how much of an unread response is read so that its connection can
// be reused.
const drainBytes = 4 << 10

func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}
