package weights

import (
	"context"
	"net/http"
	"net/url"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// pathWeights is followed by a model and a version; the parameter adapter is
// optional. GET returns 204 when the load is complete.
const pathWeights = "/v1/weights/"

// Server is a weight store over HTTP.
type Server struct {
	*Store
	*httpserver.Server
}

// Start starts a store on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options) (*Server, error) {
	s := &Server{Store: NewStore(options)}
	router := httprouter.New()
	router.GET(pathWeights+":model/:version", s.handleLoad)
	server, err := httpserver.Start(addr, router)
	s.Server = server
	return s, err
}

func (s *Server) handleLoad(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	adapter := r.URL.Query().Get("adapter")
	err := s.Load(r.Context(), params.ByName("model"), params.ByName("version"), adapter)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrRate):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Client loads weights from a Server. It implements engine.WeightSource.
type Client struct {
	URL string // base URL of the server
}

// Load loads weights once.
func (c Client) Load(ctx context.Context, model, version, adapter string) error {
	target := c.URL + pathWeights + url.PathEscape(model) + "/" + url.PathEscape(version) +
		"?adapter=" + url.QueryEscape(adapter)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return ErrRate
	default:
		return ErrOutage
	}
}
