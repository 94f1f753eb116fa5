package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// Timeout bounds one call, including the append of a change to the log.
const Timeout = 60 * time.Second

// maxResponseBytes bounds a response.
const maxResponseBytes = 64 << 20

// Options configure a Client.
type Options struct {
	// Routers are base URLs or addresses of the operators' API of routers; the
	// first that can be connected to is used.
	Routers []string
	Key     string // the operators' key
	Author  string // recorded in the history
	HTTP    *http.Client
}

// Client calls routers. It is safe for concurrent use.
type Client struct {
	options Options
}

// New returns a Client.
func New(options Options) (*Client, error) {
	if len(options.Routers) == 0 {
		return nil, errors.New("no router address given")
	}
	if options.HTTP == nil {
		options.HTTP = &http.Client{Timeout: Timeout}
	}
	return &Client{options: options}, nil
}

// UnreachableError is returned if no router could be connected to.
type UnreachableError struct {
	Causes []error // one per router, in the order tried
}

// Error implements error.
func (e *UnreachableError) Error() string {
	text := "no router can be reached"
	for _, cause := range e.Causes {
		text += "; " + cause.Error()
	}
	return text
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (api.Fleet, error) {
	var fleet api.Fleet
	err := c.get(ctx, api.PathStatus, &fleet)
	return fleet, err
}

// Burn returns the counters of all routers.
func (c *Client) Burn(ctx context.Context) (api.Burn, error) {
	var counters api.Burn
	err := c.get(ctx, api.PathBurn, &counters)
	return counters, err
}

// Config returns the configuration in force. Its version is 0 if there is none yet.
func (c *Client) Config(ctx context.Context) (config.State, error) {
	var state config.State
	err := c.get(ctx, api.PathConfig, &state)
	return state, err
}

// History returns up to limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (api.History, error) {
	var history api.History
	err := c.get(ctx, fmt.Sprintf("%s?limit=%d", api.PathHistory, limit), &history)
	return history, err
}

// Push puts a configuration in force and returns its version.
func (c *Client) Push(ctx context.Context, push api.Push) (config.Version, error) {
	var accepted api.Accepted
	err := c.post(ctx, api.PathConfig, push, &accepted)
	return accepted.Version, err
}

// Preview returns the impact that mark would have.
func (c *Client) Preview(ctx context.Context, mark api.Mark) (plan.Impact, error) {
	var impact plan.Impact
	err := c.post(ctx, api.PathPreview, mark, &impact)
	return impact, err
}

// Mark takes a target out of service or brings it back, as mark.Out says.
func (c *Client) Mark(ctx context.Context, mark api.Mark) (config.Version, error) {
	path := api.PathIn
	if mark.Out {
		path = api.PathOut
	}
	var accepted api.Accepted
	err := c.post(ctx, path, mark, &accepted)
	return accepted.Version, err
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return c.call(ctx, http.MethodPost, path, data, result)
}

// call tries the routers in turn. The next one is tried only if no connection
// could be opened: a router that was connected to may have made the change.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	unreachable := &UnreachableError{}
	for _, router := range c.options.Routers {
		err := c.callOne(ctx, router, method, path, body, result)
		if !neverConnected(err) {
			return err
		}
		unreachable.Causes = append(unreachable.Causes, err)
	}
	return unreachable
}

func (c *Client) callOne(ctx context.Context, router, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, baseURL(router)+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "router address")
	}
	// Without GetBody the transport cannot send a body a second time by itself.
	request.GetBody = nil
	request.Header.Set(api.HeaderOperator, c.options.Author)
	if c.options.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, result)
}

func decode(response *http.Response, result any) error {
	body := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode/100 == 2 {
		return errors.Wrap(json.NewDecoder(body).Decode(result), "decode response")
	}
	refusal := &api.Refusal{}
	if err := json.NewDecoder(body).Decode(refusal); err != nil || refusal.Code == outcome.OK {
		return errors.Errorf("the router responded with status %s", response.Status)
	}
	return refusal
}
