// Package explanation describes where an entry would send a request now and why, and reads that from
// a running entry.
//
// The entry decides on a copy of its scheduling state, sends nothing and keeps nothing of the
// question. Its answer does not depend on the content of the request: what the entry knows of
// requests that crash servers is left out.
package explanation

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/fuchsiarouter/fuchsiarouter/syntax"
	"github.com/fuchsiarouter/fuchsiarouter/tcp"
)

const (
	// Path is the path of explanations on the peer address of an entry.
	Path = "/explain"
	// MaxListed bounds the candidates and the allowed regions in an Answer.
	MaxListed = 256
	// maxQueryBytes bounds an encoded Query. An entry reads heads of up to 4 KiB at its peer address.
	maxQueryBytes = 3 << 10
	// maxTokens bounds the token counts of a Query.
	maxTokens = 100_000_000
	// maxAnswerBytes bounds what Fetch reads.
	maxAnswerBytes = 1 << 20
)

// Query describes a request.
type Query struct {
	Host string
	// Path may have a query part, which is ignored.
	Path string
	// Key is the API key of a workspace, empty for a request without one.
	Key   string
	Model string
	// RequestID is the ID of the attempt, by which a route with several services chooses one.
	RequestID string
	// Region restricts the request to a region, in addition to the configuration. It is empty for no
	// such restriction.
	Region       string
	PromptTokens int
	OutputTokens int
}

// Answer says where a request would go.
type Answer struct {
	// Entry is the name of the entry, Zone its availability zone.
	Entry string `json:"entry"`
	Zone  string `json:"zone"`
	// Configuration is the version of the configuration, and ConfigurationAgeMs the age of the copy.
	Configuration      int64 `json:"configuration"`
	ConfigurationAgeMs int64 `json:"configuration-age-ms"`
	// Route, Service, Rank and Workspace are those of the request. They are empty if it is refused
	// before they are known.
	Route     string `json:"route,omitempty"`
	Service   string `json:"service,omitempty"`
	Rank      int    `json:"rank"`
	Workspace string `json:"workspace,omitempty"`
	// AllowedRegions is nil if all are allowed.
	AllowedRegions []string `json:"allowed-regions"`
	// Model is the model that the scheduler takes into account, empty for services without one.
	// DeclaredVersion is the newest declared version of it, and RequiredVersion the lowest one on
	// which the request may begin, 0 if there is none.
	Model           string `json:"model,omitempty"`
	DeclaredVersion int    `json:"declared-version,omitempty"`
	RequiredVersion int    `json:"required-version,omitempty"`
	// Decision is "send", "queue" or "refuse". Server is the selected server. Result, Reason and
	// RetryAfterMs are those of the refusal.
	Decision     string `json:"decision"`
	Server       string `json:"server,omitempty"`
	Result       string `json:"result,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
	// Candidates are the servers of the service, ordered by ID, without the last Omitted ones.
	Candidates []Candidate `json:"candidates"`
	Omitted    int         `json:"candidates-omitted,omitempty"`
}

// The decisions of an Answer.
const (
	DecisionSend   = "send"
	DecisionQueue  = "queue"
	DecisionRefuse = "refuse"
)

// Candidate is a server of the service.
type Candidate struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Excluded is the first reason for which the server cannot be selected, empty if it can.
	Excluded    string `json:"excluded,omitempty"`
	HeldVersion int    `json:"held-version,omitempty"`
	InFlight    int    `json:"in-flight"`
	Slots       int    `json:"slots"`
	Preferred   bool   `json:"preferred"`
	// PredictedMs is the predicted time to the first event, 0 if the service does not count engine
	// time.
	PredictedMs int64 `json:"predicted-ms,omitempty"`
}

// The names of the query parameters.
const (
	parameterHost         = "host"
	parameterPath         = "path"
	parameterKey          = "key"
	parameterModel        = "model"
	parameterRequestID    = "request-id"
	parameterRegion       = "region"
	parameterPromptTokens = "prompt-tokens"
	parameterOutputTokens = "output-tokens"
)

// ParseQuery parses and checks the parameters of a read. Its errors repeat nothing of them, since one
// may be an API key.
func ParseQuery(arguments *fasthttp.Args) (Query, error) {
	var query Query
	known := map[string]bool{}
	for name, value := range arguments.All() {
		text, parameter := string(value), string(name)
		if known[parameter] {
			return Query{}, errors.New("a parameter occurs twice")
		}
		known[parameter] = true
		var err error
		switch parameter {
		case parameterHost:
			query.Host = text
		case parameterPath:
			query.Path = text
		case parameterKey:
			query.Key = text
		case parameterModel:
			query.Model = text
		case parameterRequestID:
			query.RequestID = text
		case parameterRegion:
			query.Region = text
		case parameterPromptTokens:
			query.PromptTokens, err = strconv.Atoi(text)
		case parameterOutputTokens:
			query.OutputTokens, err = strconv.Atoi(text)
		default:
			return Query{}, errors.New("unknown parameter")
		}
		if err != nil {
			return Query{}, errors.New("prompt-tokens and output-tokens must be whole numbers")
		}
	}
	return query, query.Validate()
}

// Validate returns an error, which names no API key, if the query cannot be answered.
func (q Query) Validate() error {
	switch {
	case q.Host == "":
		return errors.New("the host is missing")
	case strings.ContainsAny(q.Host, "/ \t\r\n"):
		return errors.New("the host is not a host name, with or without a port")
	case q.Path == "":
		return errors.New("the path is missing")
	case q.Path[0] != '/':
		return errors.New("the path does not begin with a slash")
	case q.PromptTokens < 0 || q.PromptTokens > maxTokens || q.OutputTokens < 0 || q.OutputTokens > maxTokens:
		return errors.Errorf("prompt-tokens and output-tokens must be between 0 and %d", maxTokens)
	case len(q.encode()) > maxQueryBytes:
		return errors.Errorf("the request is described by more than %d bytes", maxQueryBytes)
	}
	return nil
}

// encode returns the query as parameters of a URL.
func (q Query) encode() string {
	arguments := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(arguments)
	for _, parameter := range []struct{ name, value string }{
		{parameterHost, q.Host},
		{parameterPath, q.Path},
		{parameterKey, q.Key},
		{parameterModel, q.Model},
		{parameterRequestID, q.RequestID},
		{parameterRegion, q.Region},
	} {
		if parameter.value != "" {
			arguments.Set(parameter.name, parameter.value)
		}
	}
	arguments.SetUint(parameterPromptTokens, max(q.PromptTokens, 0))
	arguments.SetUint(parameterOutputTokens, max(q.OutputTokens, 0))
	return string(arguments.QueryString())
}

// CheckAddress returns an error if an address is not a host with a port. With such an address, an
// error could repeat the URL of a read, and so the API key.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || number == 0 || host == "" || strings.ContainsAny(address, "/?#@ ") {
		return errors.Errorf("%q is not an address with a host and a port", address)
	}
	return nil
}

// Fetch asks the entry with the peer address where a request would go. Its errors name no API key.
func Fetch(address string, query Query, timeout time.Duration) (*Answer, error) {
	if err := query.Validate(); err != nil {
		return nil, err
	}
	if err := CheckAddress(address); err != nil {
		return nil, err
	}
	client := &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := tcp.Dial(address, timeout)
			if err != nil {
				return nil, err
			}
			return syntax.NewConn(conn), nil
		},
		MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
	}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + Path + "?" + query.encode())
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return nil, errors.Wrapf(err, "entry %s does not answer", address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("entry %s answered with status %d: %.200q", address, response.StatusCode(), response.Body())
	}
	answer := &Answer{}
	if err := json.Unmarshal(response.Body(), answer); err != nil || answer.Decision == "" {
		return nil, errors.Errorf("the answer of entry %s is not an explanation", address)
	}
	return answer, nil
}
