package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

// bearerPrefix is the scheme of the Authorization header.
const bearerPrefix = "Bearer "

// authenticate returns the workspace that the request may act for.
func (s *Server) authenticate(r *http.Request, snapshot *config.Snapshot) (*config.Workspace, *outcome.Refusal) {
	name := r.Header.Get(HeaderWorkspace)
	workspace := snapshot.Workspace(name)
	if s.options.SkipAuth {
		if workspace == nil {
			return nil, outcome.NotRun(outcome.BadWorkspaceKey, "%s names no workspace", HeaderWorkspace)
		}
		return workspace, nil
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if workspace == nil || !found || !keyMatches(key, workspace.KeyHash) {
		return nil, outcome.NotRun(outcome.BadWorkspaceKey, "send the workspace's key as a bearer token and its name in %s", HeaderWorkspace)
	}
	return workspace, nil
}

// keyMatches compares key with a SHA-256 in hexadecimal in constant time.
func keyMatches(key, wantHash string) bool {
	sum := sha256.Sum256([]byte(key))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(strings.ToLower(wantHash))) == 1
}
