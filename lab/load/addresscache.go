package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// addressTimeout bounds one address call.
const addressTimeout = 3 * time.Second

// maxAddressBytes bounds the response to an address call.
const maxAddressBytes = 1 << 20

// addresses is the response to an address call.
type addresses struct {
	Addresses []string `json:"addresses"`
	TTLMs     int64    `json:"ttl_ms"`
}

// addressCache caches the addresses that the fleet returned for a caller until their TTL
// expires. It is safe for concurrent use.
type addressCache struct {
	generator *Generator
	workspace string
	chat      string
	kind      string

	mu     sync.Mutex
	hosts  []string
	expiry time.Time
}

// address returns the entry host for an attempt: the best first, then the others.
func (r *addressCache) address(ctx context.Context, attempt int) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.generator.clock.Now()
	if len(r.hosts) == 0 || !now.Before(r.expiry) {
		if err := r.resolveLocked(ctx); err != nil {
			return "", err
		}
	}
	return r.hosts[attempt%len(r.hosts)], nil
}

// failed removes an unreachable host. Addresses are resolved again when none is left.
func (r *addressCache) failed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = slices.DeleteFunc(r.hosts, func(other string) bool { return other == host })
}

// resolveLocked resolves addresses at the entry hosts in turn, cached ones first.
func (r *addressCache) resolveLocked(ctx context.Context) error {
	candidates := append(append([]string(nil), r.hosts...), r.generator.shuffledEntries()...)
	err := errors.New("no entry host to resolve addresses at")
	for _, host := range candidates {
		var resolved addresses
		resolved, err = r.resolve(ctx, host)
		if err == nil {
			r.hosts = resolved.Addresses
			r.expiry = r.generator.clock.Now().Add(time.Duration(resolved.TTLMs) * time.Millisecond)
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

func (r *addressCache) resolve(ctx context.Context, host string) (addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{"workspace": {r.workspace}, "chat": {r.chat}, "kind": {r.kind}}
	target := r.generator.options.Scheme + "://" + host + pathAddresses + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return addresses{}, errors.Wrap(err, "address call")
	}
	resp, err := r.generator.options.HTTP.Do(req)
	if err != nil {
		return addresses{}, errors.Wrap(err, "address call")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return addresses{}, errors.Errorf("address call: status %d", resp.StatusCode)
	}
	return readAddresses(resp.Body)
}

// readAddresses reads the response to an address call.
func readAddresses(body io.Reader) (addresses, error) {
	var resolved addresses
	err := json.NewDecoder(io.LimitReader(body, maxAddressBytes)).Decode(&resolved)
	if err != nil {
		return addresses{}, errors.Wrap(err, "address call")
	}
	if len(resolved.Addresses) == 0 || resolved.TTLMs < 0 {
		return addresses{}, errors.New("address call: no address or invalid TTL")
	}
	return resolved, nil
}
