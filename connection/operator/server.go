package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
	"github.com/stoatmount/stoatmount/version/plan"
)

// Limits of the operators' API.
const (
	// maxBodyBytes bounds the body of a request; the largest is a pushed configuration.
	maxBodyBytes = 8 << 20
	// maxHistory bounds the changes in one response.
	maxHistory = 1000
	// defaultHistory is the number of changes returned if no limit is given.
	defaultHistory = 20
	// maxOperatorNameBytes bounds the name that is recorded in the history.
	maxOperatorNameBytes = 100
	headerTimeout        = 5 * time.Second
	readTimeout          = 30 * time.Second
	writeTimeout         = 60 * time.Second
	idleTimeout          = 2 * time.Minute
)

// Server serves the operators' API.
type Server struct {
	controller Controller
	keyHash    [sha256.Size]byte
	skipAuth   bool
	log        logr.Logger
}

// New returns a Server that accepts requests with the key whose SHA-256 is
// keyHash, in hexadecimal, or all requests if skipAuth.
func New(controller Controller, keyHash string, skipAuth bool, log logr.Logger) (*Server, error) {
	s := &Server{controller: controller, skipAuth: skipAuth, log: log}
	if skipAuth {
		return s, nil
	}
	decoded, err := hex.DecodeString(keyHash)
	if err != nil || len(decoded) != sha256.Size {
		return nil, errors.New("the operators' key hash is not a SHA-256 in hexadecimal")
	}
	copy(s.keyHash[:], decoded)
	return s, nil
}

// HTTPServer returns an http.Server with timeouts and a limit on headers.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    64 << 10,
	}
}

// Handler returns the handler of the operators' API.
func (s *Server) Handler() http.Handler {
	mux := httprouter.New()
	mux.GET(api.PathStatus, s.status)
	mux.GET(api.PathBurn, s.burn)
	mux.GET(api.PathConfig, s.config)
	mux.POST(api.PathConfig, s.push)
	mux.GET(api.PathHistory, s.history)
	mux.POST(api.PathPreview, s.preview)
	mux.POST(api.PathOut, s.mark(true))
	mux.POST(api.PathIn, s.mark(false))
	mux.GET(api.PathVars, s.vars)
	mux.NotFound = refuseHandler(outcome.NotFound)
	mux.MethodNotAllowed = refuseHandler(outcome.MethodNotAllowed)
	return s.authorised(mux)
}

// authorised passes on requests with the operators' key and refuses others.
func (s *Server) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.skipAuth && !s.keyMatches(r) {
			s.log.Info("refused an operator request without the right key", "remote", r.RemoteAddr, "code", int(outcome.OperatorUnauthorised))
			refuse(w, outcome.NotRun(outcome.OperatorUnauthorised, ""))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// keyMatches compares the key in constant time.
func (s *Server) keyMatches(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash[:]) == 1 && found
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	writeJSON(w, s.controller.Fleet(r.Context()))
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	writeJSON(w, s.controller.Burn(r.Context()))
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	snapshot := s.controller.Snapshot()
	if snapshot == nil {
		writeJSON(w, config.State{})
		return
	}
	writeJSON(w, snapshot.State)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistory {
			refuse(w, outcome.NotRun(outcome.BadRequest, "limit must be a whole number from 1 to %d.", maxHistory))
			return
		}
		limit = parsed
	}
	history, err := s.controller.History(r.Context(), limit)
	if err != nil {
		s.refuseError(w, err)
		return
	}
	writeJSON(w, history)
}

func (s *Server) push(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var push api.Push
	if !readJSON(w, r, &push) {
		return
	}
	version, err := s.controller.Push(r.Context(), operatorName(r), push)
	s.writeAccepted(w, version, err)
}

func (s *Server) mark(out bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		mark, ok := s.readMark(w, r)
		if !ok {
			return
		}
		mark.Out = out
		version, err := s.controller.Mark(r.Context(), operatorName(r), mark)
		s.writeAccepted(w, version, err)
	}
}

func (s *Server) preview(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	mark, ok := s.readMark(w, r)
	if !ok {
		return
	}
	snapshot, loads := s.controller.Snapshot(), s.controller.Loads(r.Context())
	if mark.Out {
		writeJSON(w, plan.OutOfService(snapshot, loads, mark.Target))
		return
	}
	writeJSON(w, plan.BackInService(snapshot, loads, mark.Target))
}

// readMark reads a Mark and refuses one whose target does not exist.
func (s *Server) readMark(w http.ResponseWriter, r *http.Request) (api.Mark, bool) {
	var mark api.Mark
	if !readJSON(w, r, &mark) {
		return mark, false
	}
	snapshot := s.controller.Snapshot()
	if snapshot == nil {
		refuse(w, outcome.NotRun(outcome.NoConfig, ""))
		return mark, false
	}
	known, hint := s.targetKnown(r, snapshot, mark.Target)
	if !known {
		refuse(w, outcome.NotRun(outcome.UnknownName, "There is no %s %q. %s", mark.Target.Scope, mark.Target.Name, hint))
	}
	return mark, known
}

// targetKnown reports whether target exists. Hosts come from the platform's list
// and are not in the configuration; one out of service may no longer be listed.
func (s *Server) targetKnown(r *http.Request, snapshot *config.Snapshot, target config.Target) (known bool, hint string) {
	var names []string
	switch target.Scope {
	case config.ScopeZone:
		for _, zone := range snapshot.Config.Zones {
			names = append(names, zone.Name)
		}
	case config.ScopeEndpoint:
		for i := range snapshot.Config.Endpoints {
			names = append(names, snapshot.Config.Endpoints[i].Name)
		}
	case config.ScopeHost:
		for _, router := range s.controller.Fleet(r.Context()).Routers {
			names = append(names, router.Name)
		}
	default:
		return false, "The scope is zone, host or endpoint."
	}
	for _, name := range names {
		if name == target.Name {
			return true, ""
		}
	}
	return snapshot.IsOutOfService(target), fmt.Sprintf("Known are: %s.", strings.Join(names, ", "))
}

func (s *Server) writeAccepted(w http.ResponseWriter, version config.Version, err error) {
	if err != nil {
		s.refuseError(w, err)
		return
	}
	writeJSON(w, api.Accepted{Version: version})
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	WriteVars(w, s.controller.Vars())
}

// WriteVars writes metrics in the format of package expvar.
func WriteVars(w http.ResponseWriter, vars []expvar.KeyValue) {
	_, _ = fmt.Fprintf(w, "{\n")
	for i, v := range vars {
		if i > 0 {
			_, _ = fmt.Fprintf(w, ",\n")
		}
		_, _ = fmt.Fprintf(w, "%q: %s", v.Key, v.Value)
	}
	_, _ = fmt.Fprintf(w, "\n}\n")
}

// operatorName returns the author to record in the history.
func operatorName(r *http.Request) string {
	name := r.Header.Get(api.HeaderOperator)
	if name == "" {
		return "unnamed"
	}
	return name[:min(len(name), maxOperatorNameBytes)]
}

// readJSON decodes the body into v, or refuses the request and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		refuse(w, outcome.NotRun(outcome.BodyTooLarge, "At most %d bytes are read.", maxBodyBytes))
	default:
		refuse(w, outcome.NotRun(outcome.BadRequest, "%v.", err))
	}
	return false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func refuseHandler(code outcome.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, outcome.NotRun(code, ""))
	})
}

func (s *Server) refuseError(w http.ResponseWriter, err error) {
	refusal, ok := outcome.AsRefusal(err)
	if !ok {
		s.log.Error(err, "operator request failed")
		refusal = outcome.NotRun(outcome.InternalInvariant, "%v.", err)
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		refuse(w, refusal, invalid.Problems...)
		return
	}
	refuse(w, refusal)
}

func refuse(w http.ResponseWriter, refusal *outcome.Refusal, problems ...config.Problem) {
	info := refusal.Code.Info()
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(refusal.RetryAfter/time.Second)+1))
	}
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(api.Refusal{
		Code: refusal.Code, Name: info.Name, Text: info.Text, Detail: refusal.Detail, Problems: problems,
	})
}
