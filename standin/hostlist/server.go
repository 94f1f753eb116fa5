package hostlist

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/connection/platformclient"
	"github.com/stoatmount/stoatmount/standin/internal/httpserver"
)

// PathHosts is the path of the list: GET returns []platformclient.ListedHost.
const PathHosts = "/v1/hosts"

// Server is a list over HTTP.
type Server struct {
	*Memory
	*httpserver.Server
}

// Start starts a list on addr, or on a free loopback port if addr is empty.
func Start(addr string, options Options, hosts ...platformclient.ListedHost) (*Server, error) {
	s := &Server{Memory: NewMemory(options, hosts...)}
	router := httprouter.New()
	router.GET(PathHosts, s.handleHosts)
	server, err := httpserver.Start(addr, httpserver.EchoRequestID(router))
	s.Server = server
	return s, err
}

func (s *Server) handleHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hosts, err := s.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if hosts == nil {
		hosts = []platformclient.ListedHost{}
	}
	httpserver.WriteJSON(w, http.StatusOK, hosts)
}
