package namedcall

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// HeaderID is the header with the id of a call. Responses to the call repeat it.
const HeaderID = "X-Request-Id"

// ErrOtherResponse is returned for a response that may be to another call. The call may
// have taken effect.
var ErrOtherResponse = errors.New("the response may be to another call")

// Client makes calls. It is safe for concurrent use.
//
// A response must name its call or, as one that names none may be a copy of an earlier one,
// be the first on its connection. While the responses of a server name no call, each call
// to it gets a new connection.
type Client struct {
	kept, fresh *http.Transport
	prefix      string // of the ids, random
	last        atomic.Uint64
	unnamed     sync.Map // servers whose last response named no call
}

// New returns a Client. Both transports must be prepared; fresh must keep no connections.
func New(kept, fresh *http.Transport) *Client {
	return &Client{kept: kept, fresh: fresh, prefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Do makes one call. It follows no redirect. If the response to a GET may be to another
// call, it is sent once more, on a new connection.
func (c *Client) Do(request *http.Request, body []byte) (*http.Response, error) {
	request.Header.Set(HeaderID, c.prefix+strconv.FormatUint(c.last.Add(1), 36))
	transport := c.kept
	if _, unnamed := c.unnamed.Load(request.URL.Host); unnamed {
		transport = c.fresh
	}
	response, err := c.do(transport, request, body)
	if errors.Is(err, ErrOtherResponse) && request.Method == http.MethodGet {
		return c.do(c.fresh, request, body)
	}
	return response, err
}

func (c *Client) do(transport *http.Transport, request *http.Request, body []byte) (*http.Response, error) {
	response, used, err := RoundTrip(transport, request, body)
	if err != nil {
		return nil, err
	}
	named := response.Header.Values(HeaderID)
	if len(named) == 0 {
		c.unnamed.Store(request.URL.Host, true)
	} else {
		c.unnamed.Delete(request.URL.Host)
	}
	if len(named) == 1 && named[0] == request.Header.Get(HeaderID) || len(named) == 0 && !used.Reused {
		return response, nil
	}
	_ = response.Body.Close()
	Discard(used.Conn)
	return nil, ErrOtherResponse
}
