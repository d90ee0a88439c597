package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/fuchsiarouter/fuchsiarouter/document"
	"github.com/fuchsiarouter/fuchsiarouter/result"
)

// defaultDeadlines holds the deadlines of requests that set none, by rank.
var defaultDeadlines = map[document.RankName]time.Duration{
	document.Urgent:    30 * time.Second,
	document.Normal:    2 * time.Minute,
	document.Overnight: time.Hour,
}

// maxDeadline bounds the deadline that a caller may request.
const maxDeadline = time.Hour

// config is the configuration with an index for classifying requests. It is replaced as a
// whole, so that a request uses a single revision of each section.
type config struct {
	document              document.Document
	workspacesByTokenHash map[string]document.Workspace
}

func newConfig(doc document.Document) *config {
	config := &config{document: doc, workspacesByTokenHash: map[string]document.Workspace{}}
	for _, workspace := range doc.Workspaces.Workspaces {
		config.workspacesByTokenHash[strings.ToLower(workspace.TokenHash)] = workspace
	}
	return config
}

// identify returns the workspace to which the bearer token in an Authorization header
// belongs. It fails if the header has no bearer token, or no workspace has the token.
func (c *config) identify(authorization string) (document.Workspace, *result.Error) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return document.Workspace{}, result.Unauthenticated.Error("the Authorization header has no bearer token")
	}
	hash := sha256.Sum256([]byte(token))
	workspace, ok := c.workspacesByTokenHash[hex.EncodeToString(hash[:])]
	if !ok {
		return document.Workspace{}, result.Unauthenticated.Error("the token belongs to no workspace")
	}
	return workspace, nil
}

// rankFor returns the rank of a request: the requested one, otherwise that of the service,
// otherwise the default of the workspace, otherwise document.Normal. An empty rank counts
// as not set. rankFor fails if the workspace may not use the rank; the rank of a service is
// allowed to every workspace.
func (c *config) rankFor(workspace document.Workspace, requested, service document.RankName) (document.RankName, *result.Error) {
	rank := requested
	if rank == "" {
		rank = service
	}
	if rank == "" {
		rank = workspace.DefaultRank
	}
	if rank == "" {
		rank = document.Normal
	}
	if requested == "" && service != "" {
		return rank, nil
	}
	if len(workspace.Ranks) == 0 {
		return rank, nil
	}
	for _, allowed := range workspace.Ranks {
		if rank == allowed {
			return rank, nil
		}
	}
	return "", result.RankNotAllowed.Error("the workspace may not use the rank " + string(rank))
}

// isIdempotent reports whether a request to a service may run more than once: a GET or HEAD
// request, or one that matches a rule of the service in the configuration. path is the path
// at the service.
func isIdempotent(service document.Service, method, path string) bool {
	if method == "GET" || method == "HEAD" {
		return true
	}
	for _, rule := range service.Idempotent {
		if (rule.Method == "" || rule.Method == method) && strings.HasPrefix(path, rule.Prefix) {
			return true
		}
	}
	return false
}
