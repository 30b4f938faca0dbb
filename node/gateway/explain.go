package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// ChoicePath is the HTTP path at which an entry explains where a request would go now.
const ChoicePath = "/v1/choice"

// ChoiceQuestion describes a request that is not sent.
type ChoiceQuestion struct {
	Host string `url:"host" json:"host"`
	// Path is encoded, as a caller would write it.
	Path string `url:"path" json:"path"`
	// Workspace is the name of the caller's workspace; empty for none.
	Workspace string `url:"workspace,omitempty" json:"workspace,omitempty"`
	// ID is the request's id, which decides between the services of a route.
	ID    string `url:"id,omitempty" json:"id,omitempty"`
	Model string `url:"model,omitempty" json:"model,omitempty"`
	// PromptTokens and OutputTokens are the request's size; 0 means unknown.
	PromptTokens int `url:"prompt_tokens,omitempty" json:"prompt_tokens,omitempty"`
	OutputTokens int `url:"output_tokens,omitempty" json:"output_tokens,omitempty"`
	// LengthHint is the caller's estimate of the answer's tokens; 0 if there is none.
	LengthHint int `url:"length_hint,omitempty" json:"length_hint,omitempty"`
	// DeadlineMS is how long the caller waits; 0 means as long as the route allows.
	DeadlineMS int64 `url:"deadline_ms,omitempty" json:"deadline_ms,omitempty"`
}

// ChoiceCandidate is a server of the request's service.
type ChoiceCandidate struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Excluded is the reason why the server may not get the request; empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// Load is the estimated number of requests at the engine and MaxLoad the number from
	// which it is full; 0 for plain services.
	Load    float64 `json:"load"`
	MaxLoad float64 `json:"max_load"`
	// ReportAgeMS is the age of the engine's report; negative if there is none.
	ReportAgeMS int64 `json:"report_age_ms"`
	// ColdMS is how much longer the server bears only a low rate of requests.
	ColdMS int64 `json:"cold_ms,omitempty"`
}

// ChoiceAnswer tells where a request would go now, and why.
type ChoiceAnswer struct {
	Entry         string `json:"entry"`
	Configuration int64  `json:"configuration"`
	// Refused is the reason for which the request would be refused without a choice.
	Refused string `json:"refused,omitempty"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Regions are those in which the request may be served; none for all.
	Regions []string `json:"regions,omitempty"`
	// Evacuated are the availability zones that the operator empties.
	Evacuated []string `json:"evacuated,omitempty"`
	// Server is where the request would go; empty if it would wait for Miss to pass.
	Server string `json:"server,omitempty"`
	Miss   string `json:"miss,omitempty"`
	// Waiting is the number of requests that get a place before it, WaitMS how long it
	// would wait for one, and ReturnMS when its caller would be told to return after that.
	Waiting  int   `json:"waiting"`
	WaitMS   int64 `json:"wait_ms,omitempty"`
	ReturnMS int64 `json:"return_ms,omitempty"`
	// Candidates are all servers of the service, by id.
	Candidates []ChoiceCandidate `json:"candidates"`
}

// ExplainChoice returns where a request would go now. It decides like a request, with the
// same code, and changes nothing.
func (g *Gateway) ExplainChoice(q ChoiceQuestion) ChoiceAnswer {
	a := ChoiceAnswer{Entry: g.cfg.ID}
	table := g.table.Load()
	if table == nil {
		a.Refused = string(ReasonNoConfiguration)
		return a
	}
	a.Configuration = table.Version()
	req, reason := g.imagine(table, q)
	if req.route != nil {
		a.Route, a.Service, a.Regions = req.route.Name, req.service, req.regions.Names()
	}
	if reason != "" {
		a.Refused = string(reason)
		return a
	}
	now := bootclock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a.Evacuated = g.evacuations.Names()
	choice, miss, candidates := g.fleet.Preview(now, req.query())
	for _, c := range candidates {
		a.Candidates = append(a.Candidates, newChoiceCandidate(c))
	}
	queue := g.queues[req.service]
	if queue != nil {
		a.Waiting = queue.Before(req.waitingRequest())
	}
	if miss == placement.Found {
		a.Server = choice.Server.ID
		return a
	}
	remaining := time.Until(req.deadline)
	a.Miss, a.WaitMS = string(miss), placement.MaxWait(miss, req.pastTarget, req.route.Target, remaining).Milliseconds()
	if queue != nil && miss == placement.AllFull {
		a.ReturnMS = queue.NextReturn(remaining/honouredShare, now).Milliseconds()
	} else {
		a.ReturnMS = meanRetryAfter(missReason(miss, req)).Milliseconds()
	}
	return a
}

func newChoiceCandidate(c placement.Candidate) ChoiceCandidate {
	out := ChoiceCandidate{
		Server: c.Server.ID, Zone: c.Server.Zone, Region: c.Region, Load: c.Load, MaxLoad: c.MaxLoad,
		ReportAgeMS: c.ReportAge.Milliseconds(), ColdMS: c.ColdFor.Milliseconds(),
	}
	if c.ReportAge < 0 {
		out.ReportAgeMS = -1
	}
	if c.Reason != 0 {
		out.Excluded = c.Reason.String()
	}
	return out
}

// imagine returns the request that a question describes, as admit does for a real one.
func (g *Gateway) imagine(table *route.Table, q ChoiceQuestion) (*request, Reason) {
	req := &request{start: time.Now(), call: Call{
		RequestID: q.ID, Model: q.Model, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, LengthHint: q.LengthHint, Deadline: time.Duration(q.DeadlineMS) * time.Millisecond,
	}}
	if req.route = table.Match(q.Host, q.Path); req.route == nil {
		return req, ReasonNoRoute
	}
	workspace := table.Workspace(q.Workspace)
	if q.Workspace != "" && workspace == nil {
		return req, ReasonUnknownKey
	}
	return req, g.assign(req, table, workspace)
}

// HandleChoice serves questions about choices.
func (g *Gateway) HandleChoice(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := ChoiceQuestion{
		Host: values.Get("host"), Path: values.Get("path"), Workspace: values.Get("workspace"), ID: values.Get("id"), Model: values.Get("model"),
	}
	for name, number := range map[string]*int{"prompt_tokens": &q.PromptTokens, "output_tokens": &q.OutputTokens, "length_hint": &q.LengthHint} {
		if text := values.Get(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 {
				http.Error(w, name+" must be a number", http.StatusBadRequest)
				return
			}
			*number = n
		}
	}
	if text := values.Get("deadline_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 0 {
			http.Error(w, "deadline_ms must be a number", http.StatusBadRequest)
			return
		}
		q.DeadlineMS = ms
	}
	if q.Host == "" || q.Path == "" {
		http.Error(w, "host and path are required", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that left asks again.
	_ = json.NewEncoder(w).Encode(g.ExplainChoice(q))
}
