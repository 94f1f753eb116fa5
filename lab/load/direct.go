package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// directTTL is the TTL of the addresses that Direct returns.
const directTTL = time.Hour

// Direct is a Doer that calls endpoints without a router, as the baseline for the
// latency that a router adds.
type Direct struct {
	HTTP      Doer
	Endpoints []string // IP number and port; every one serves every kind
}

// NewDirect returns a Direct with a client of its own.
func NewDirect(endpoints ...string) *Direct {
	return &Direct{HTTP: newClient(), Endpoints: endpoints}
}

// Do implements Doer. It responds to address calls itself and removes the name of
// the service from the path.
func (d *Direct) Do(req *http.Request) (*http.Response, error) {
	if req.URL.Path == pathAddresses {
		return d.addresses()
	}
	if rest, ok := strings.CutPrefix(req.URL.Path, pathServices); ok {
		_, path, _ := strings.Cut(rest, "/")
		req.URL.Path = "/" + path
	}
	return d.HTTP.Do(req)
}

func (d *Direct) addresses() (*http.Response, error) {
	data, err := json.Marshal(addresses{Addresses: d.Endpoints, TTLMs: directTTL.Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "direct call")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, nil
}
