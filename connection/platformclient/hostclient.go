package platformclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// HostListClient reads the platform's list of hosts over HTTP. It is safe for
// concurrent use.
type HostListClient struct {
	*serviceClient
}

// NewHostListClient returns a client of the list service at o.Address.
func NewHostListClient(o ClientOptions) *HostListClient {
	return &HostListClient{serviceClient: newServiceClient(o)}
}

// maxListBytes bounds the list of hosts.
const maxListBytes = 4 << 20

// Hosts implements HostList.
func (c *HostListClient) Hosts(ctx context.Context) ([]ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := c.calls.Do(req, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read host list: status %d", resp.StatusCode)
	}
	var hosts []ListedHost
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&hosts); err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	return hosts, nil
}
