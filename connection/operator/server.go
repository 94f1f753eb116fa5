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

// Bounds of the operators' address.
const (
	// bodyLimit bounds a pushed configuration, in bytes.
	bodyLimit = 8 << 20
	// historyLimit bounds the changes of one answer.
	historyLimit = 1000
	// defaultHistory is the number of changes given if none is asked for.
	defaultHistory = 20
	// operatorNameLimit bounds the name that goes into the history, in bytes.
	operatorNameLimit = 100
	headerTime        = 5 * time.Second
	readTime          = 30 * time.Second
	writeTime         = 60 * time.Second
	idleTime          = 2 * time.Minute
)

// Server answers operators.
type Server struct {
	controller Controller
	keyHash    [sha256.Size]byte
	open       bool
	log        logr.Logger
}

// New returns a Server that lets in whoever holds the key with the SHA-256
// keyHash, in hexadecimal, or everybody if open.
func New(controller Controller, keyHash string, open bool, log logr.Logger) (*Server, error) {
	s := &Server{controller: controller, open: open, log: log}
	if open {
		return s, nil
	}
	decoded, err := hex.DecodeString(keyHash)
	if err != nil || len(decoded) != sha256.Size {
		return nil, errors.New("the operators' key hash is not a SHA-256 in hexadecimal")
	}
	copy(s.keyHash[:], decoded)
	return s, nil
}

// HTTPServer returns an http.Server with bounds on time and headers.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       readTime,
		WriteTimeout:      writeTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    64 << 10,
	}
}

// Handler returns the handler of the operators' address.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.GET(api.PathStatus, s.status)
	router.GET(api.PathBurn, s.burn)
	router.GET(api.PathConfig, s.config)
	router.POST(api.PathConfig, s.push)
	router.GET(api.PathHistory, s.history)
	router.POST(api.PathPreview, s.preview)
	router.POST(api.PathOut, s.mark(true))
	router.POST(api.PathIn, s.mark(false))
	router.GET(api.PathVars, s.vars)
	router.NotFound = refusing(outcome.NotFound)
	router.MethodNotAllowed = refusing(outcome.MethodNotAllowed)
	return s.authorised(router)
}

// authorised lets only operators pass.
func (s *Server) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.open && !s.keyMatches(r) {
			s.log.Info("operator refused", "remote", r.RemoteAddr, "code", int(outcome.OperatorUnauthorised))
			refuse(w, outcome.NotRun(outcome.OperatorUnauthorised, ""))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// keyMatches compares in constant time.
func (s *Server) keyMatches(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash[:]) == 1 && found
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	answer(w, s.controller.Fleet(r.Context()))
}

func (s *Server) burn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	answer(w, s.controller.Burn(r.Context()))
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	snapshot := s.controller.Snapshot()
	if snapshot == nil {
		answer(w, config.State{})
		return
	}
	answer(w, snapshot.State)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > historyLimit {
			refuse(w, outcome.NotRun(outcome.BadRequest, "limit must be a whole number from 1 to %d.", historyLimit))
			return
		}
		limit = parsed
	}
	history, err := s.controller.History(r.Context(), limit)
	if err != nil {
		s.refuseError(w, err)
		return
	}
	answer(w, history)
}

func (s *Server) push(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var push api.Push
	if !read(w, r, &push) {
		return
	}
	version, err := s.controller.Push(r.Context(), operatorName(r), push)
	s.accepted(w, version, err)
}

func (s *Server) mark(out bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		mark, ok := s.readMark(w, r)
		if !ok {
			return
		}
		mark.Out = out
		version, err := s.controller.Mark(r.Context(), operatorName(r), mark)
		s.accepted(w, version, err)
	}
}

func (s *Server) preview(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	mark, ok := s.readMark(w, r)
	if !ok {
		return
	}
	snapshot, loads := s.controller.Snapshot(), s.controller.Loads(r.Context())
	if mark.Out {
		answer(w, plan.OutOfService(snapshot, loads, mark.Target))
		return
	}
	answer(w, plan.BackInService(snapshot, loads, mark.Target))
}

// readMark reads a Mark whose target exists.
func (s *Server) readMark(w http.ResponseWriter, r *http.Request) (api.Mark, bool) {
	var mark api.Mark
	if !read(w, r, &mark) {
		return mark, false
	}
	snapshot := s.controller.Snapshot()
	if snapshot == nil {
		refuse(w, outcome.NotRun(outcome.NoConfig, ""))
		return mark, false
	}
	known, remedy := s.targetKnown(r, snapshot, mark.Target)
	if !known {
		refuse(w, outcome.NotRun(outcome.UnknownName, "There is no %s %q. %s", mark.Target.Scope, mark.Target.Name, remedy))
	}
	return mark, known
}

// targetKnown reports whether target exists. Hosts come from the platform's
// list and are not in the configuration; one that is out may be gone by now.
func (s *Server) targetKnown(r *http.Request, snapshot *config.Snapshot, target config.Target) (known bool, remedy string) {
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

func (s *Server) accepted(w http.ResponseWriter, version config.Version, err error) {
	if err != nil {
		s.refuseError(w, err)
		return
	}
	answer(w, api.Accepted{Version: version})
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	WriteVars(w, s.controller.Vars())
}

// WriteVars writes metrics as package expvar does.
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

// operatorName returns the name for the history.
func operatorName(r *http.Request) string {
	name := r.Header.Get(api.HeaderOperator)
	if name == "" {
		return "unnamed"
	}
	return name[:min(len(name), operatorNameLimit)]
}

// read decodes the body into v, or refuses.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		refuse(w, outcome.NotRun(outcome.BodyTooLarge, "At most %d bytes are read.", bodyLimit))
	default:
		refuse(w, outcome.NotRun(outcome.BadRequest, "%v.", err))
	}
	return false
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has gone.
	_ = json.NewEncoder(w).Encode(v)
}

func refusing(code outcome.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, outcome.NotRun(code, ""))
	})
}

func (s *Server) refuseError(w http.ResponseWriter, err error) {
	refusal, ok := outcome.AsRefusal(err)
	if !ok {
		s.log.Error(err, "operator's request failed")
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
