package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	Method, Path, Body string
	TimeLimit          time.Duration
	Fields             map[string]string
}

// Result is what the caller got for an attempt.
type Result struct {
	ID     string
	Status int // 0 without a response
	Header http.Header
	Body   string
	Err    error // the response did not come, or ended early
	Sent   time.Time
}

var lastID atomic.Int64

// NewID returns an id for an attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// Call sends an attempt on a new channel to a router and waits for the result.
func (f *Fleet) Call(router *Router, r Request) Result {
	id := NewID()
	res := Result{ID: id, Sent: time.Now()}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: r.TimeLimit}
	req, err := http.NewRequest(r.Method, "http://"+router.Front+r.Path, strings.NewReader(r.Body))
	if err != nil {
		res.Err = err
		return res
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.TimeLimit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range r.Fields {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		res.Err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.Status, res.Header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	res.Body, res.Err = string(data), err
	return res
}
