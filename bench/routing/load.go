package routing

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/routing"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Caller is one way to get a request served.
type Caller interface {
	// Call sends the request and calls token at each token. It returns
	// whether a whole answer came and whether the request was refused.
	Call(ctx context.Context, workspace string, r wire.Request, token func()) (whole, refused bool)
}

// NewClient returns an HTTP client with room for many connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 8192, MaxIdleConnsPerHost: 8192}}
}

// EntryCaller calls through entries, a random one for each request.
type EntryCaller struct {
	Client *http.Client
	URLs   []string
}

// Call implements Caller.
func (c *EntryCaller) Call(ctx context.Context, workspace string, r wire.Request, token func()) (whole, refused bool) {
	r.Stream = true
	url := c.URLs[rand.IntN(len(c.URLs))] + "/v1/workspaces/" + workspace + "/services/" + service + "/requests"
	resp, err := post(ctx, c.Client, url, r)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, resp.Header.Get("Retry-After") != ""
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch lines.Text() {
		case "event: token":
			token()
		case "event: end":
			whole = true
		}
	}
	return whole, false
}

// DirectCaller calls engines itself, without entries, agents and limits.
type DirectCaller struct {
	Client *http.Client
	URLs   []string
	// Choose returns the engine for a request; done is called at its end.
	Choose func(workspace string, r wire.Request) (engine int, done func())
	ids    atomic.Int64
}

// Call implements Caller.
func (c *DirectCaller) Call(ctx context.Context, workspace string, r wire.Request, token func()) (whole, refused bool) {
	chosen, done := c.Choose(workspace, r)
	defer done()
	resp, err := post(ctx, c.Client, c.URLs[chosen]+"/v1/generate", wire.GenerateRequest{
		RequestID: fmt.Sprint(c.ids.Add(1)), Prompt: r.Prompt, MaxTokens: r.MaxTokens, Priority: r.Priority,
	})
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, true
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var frame wire.GenerateFrame
		if json.Unmarshal(lines.Bytes(), &frame) != nil {
			return false, false
		}
		if frame.Token != nil {
			token()
		}
		whole = frame.End != nil
	}
	return whole, false
}

func post(ctx context.Context, client *http.Client, url string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return client.Do(req)
}

// RandomChoice chooses any engine.
func RandomChoice(engines int) func(string, wire.Request) (int, func()) {
	return func(string, wire.Request) (int, func()) { return rand.IntN(engines), func() {} }
}

// LeastConnections chooses the engine with the fewest open requests.
func LeastConnections(engines int) func(string, wire.Request) (int, func()) {
	var mu sync.Mutex
	open := make([]int, engines)
	return func(string, wire.Request) (int, func()) {
		mu.Lock()
		defer mu.Unlock()
		best := 0
		for i, n := range open {
			if n < open[best] {
				best = i
			}
		}
		open[best]++
		return best, func() {
			mu.Lock()
			open[best]--
			mu.Unlock()
		}
	}
}

// PoolWithoutLimits chooses like an entry but with unlimited concurrency.
func PoolWithoutLimits(engines int) func(string, wire.Request) (int, func()) {
	var mu sync.Mutex
	cfg := routing.DefaultConfig(region)
	cfg.DefaultLimit = 1 << 20
	// Affinity follows the load of the others, because no limit bounds it.
	cfg.AffinityUtilization = 0
	pool := routing.NewPool(cfg)
	members := make([]routing.Backend, engines)
	for i := range members {
		members[i] = routing.Backend{ID: fmt.Sprint(i), Region: region, Version: Version}
	}
	pool.Update(time.Now(), members)
	return func(workspace string, r wire.Request) (int, func()) {
		mu.Lock()
		defer mu.Unlock()
		choice, _ := pool.Choose(time.Now(), routing.Request{Version: Version, Affinity: routing.Affinity(workspace, r.Prompt, 256)})
		var chosen int
		_, _ = fmt.Sscan(choice.ID, &chosen)
		return chosen, func() {
			mu.Lock()
			pool.Done(time.Now(), choice.Handle, routing.Succeeded)
			mu.Unlock()
		}
	}
}

// Source is one workspace's share of the load.
type Source struct {
	Workspace string
	// Rate is the number of requests per second.
	Rate float64
}

// Load describes an open-loop load: requests arrive at their times whether
// or not earlier ones have ended.
type Load struct {
	Sources  []Source
	Duration time.Duration
	// Warmup is left out of the results.
	Warmup   time.Duration
	Deadline time.Duration
	// MinTokens and MaxTokens bound the length of an answer.
	MinTokens, MaxTokens int
	// Prefixes is how many different prompts' beginnings a workspace has,
	// of PrefixBytes each.
	Prefixes, PrefixBytes int
	Seed                  uint64
	// MaxOpen bounds the open requests of the generator.
	MaxOpen int
}

// Result sums up one workspace, or all.
type Result struct {
	Sent, Whole, Refused, Broken int
	// GoodTokens are tokens of answers that were whole within the deadline.
	GoodTokens int
	First      []time.Duration
	Gaps       []time.Duration
}

// Percentile returns the p-quantile of the times, 0 without any.
func Percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func (r *Result) add(o Result) {
	r.Sent += o.Sent
	r.Whole += o.Whole
	r.Refused += o.Refused
	r.Broken += o.Broken
	r.GoodTokens += o.GoodTokens
	r.First = append(r.First, o.First...)
	r.Gaps = append(r.Gaps, o.Gaps...)
}

// Total adds up the results of all workspaces.
func Total(results map[string]*Result) *Result {
	total := &Result{}
	for _, r := range results {
		total.add(*r)
	}
	return total
}

// Run puts the load on the caller and returns the results by workspace.
func (l Load) Run(caller Caller) map[string]*Result {
	var mu sync.Mutex
	results := map[string]*Result{}
	open := make(chan struct{}, l.MaxOpen)
	var requests sync.WaitGroup
	begun := time.Now()
	var sources sync.WaitGroup
	for i, s := range l.Sources {
		results[s.Workspace] = &Result{}
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		sources.Go(func() {
			at := time.Duration(0)
			for {
				at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
				if at > l.Warmup+l.Duration {
					return
				}
				request := l.request(random, s.Workspace)
				time.Sleep(time.Until(begun.Add(at)))
				open <- struct{}{}
				requests.Go(func() {
					one := l.call(caller, s.Workspace, request)
					<-open
					ended := time.Since(begun)
					mu.Lock()
					defer mu.Unlock()
					// Goodput counts what ends inside the measured time, so that
					// the backlog at its end doesn't count for it.
					if ended < l.Warmup || ended > l.Warmup+l.Duration {
						one.GoodTokens = 0
					}
					if at < l.Warmup {
						one = Result{GoodTokens: one.GoodTokens}
					}
					results[s.Workspace].add(one)
				})
			}
		})
	}
	sources.Wait()
	requests.Wait()
	return results
}

func (l Load) request(random *rand.Rand, workspace string) wire.Request {
	prefix := fmt.Sprintf("%s prefix %d ", workspace, random.IntN(l.Prefixes))
	prompt := strings.Repeat(prefix, l.PrefixBytes/len(prefix)+1)[:l.PrefixBytes]
	return wire.Request{
		Prompt:     prompt + fmt.Sprintf(" question %d", random.Uint64()),
		MaxTokens:  l.MinTokens + random.IntN(l.MaxTokens-l.MinTokens+1),
		DeadlineMS: l.Deadline.Milliseconds(),
	}
}

func (l Load) call(caller Caller, workspace string, r wire.Request) Result {
	ctx, cancel := context.WithTimeout(context.Background(), l.Deadline)
	defer cancel()
	one := Result{Sent: 1}
	begun := time.Now()
	last := begun
	whole, refused := caller.Call(ctx, workspace, r, func() {
		now := time.Now()
		if len(one.First) == 0 {
			one.First = append(one.First, now.Sub(begun))
		} else {
			one.Gaps = append(one.Gaps, now.Sub(last))
		}
		last = now
	})
	switch {
	case whole:
		one.Whole = 1
		one.GoodTokens = r.MaxTokens
	case refused:
		one.Refused = 1
	default:
		one.Broken = 1
	}
	return one
}
