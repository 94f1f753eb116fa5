package caller

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// addresses returns entry hosts, which run a router. It needs no key, as it reveals
// nothing that a caller could not find out by sending requests.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	snapshot := s.router.Snapshot()
	if snapshot == nil || snapshot.Version == 0 {
		refuse(w, "", outcome.NotRun(outcome.NoConfig, "no configuration is in force yet"))
		return
	}
	query := r.URL.Query()
	chat, workspace := query.Get("chat"), query.Get("workspace")
	if len(chat) > maxNameBytes || len(workspace) > maxNameBytes {
		refuse(w, "", outcome.NotRun(outcome.BadRequest, "chat and workspace may have %d bytes", maxNameBytes))
		return
	}
	kind := snapshot.Kind(query.Get("kind"))
	if query.Get("kind") != "" && kind == nil {
		refuse(w, "", outcome.NotRun(outcome.BadKind, "kind names no kind of request"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(s.router.Addresses(workspace, chat, kind))
}
