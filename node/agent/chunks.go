package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
)

// Fetching chunks.
const (
	// lookahead bounds, in windows, how far fetching runs ahead of the first
	// missing chunk, so that draws from the origin stay roughly in order.
	lookahead = 2
	// slowFactor bounds the whole transfer from a peer in deadlines. It stops
	// a peer that sends a few bytes per deadline.
	slowFactor = 8
	// peersEvery is how often the fetch takes over a changed list of peers.
	peersEvery = 250 * time.Millisecond
	// minWait keeps the timer of the fetch loop from spinning.
	minWait = time.Millisecond
)

// errCorrupt is returned when bytes do not match their hash or size.
var errCorrupt = eris.New("chunk is corrupt")

// errNotYet is returned when a peer has no verified chunk so far.
var errNotYet = eris.New("peer has no verified chunk yet")

// pacer spreads bytes over time by a budget in bytes per second.
type pacer struct {
	rate int64
	mu   sync.Mutex
	next time.Time
}

// take waits until n more bytes are within the budget.
func (p *pacer) take(ctx context.Context, n int) error {
	if p.rate <= 0 {
		return ctx.Err()
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(int64(n) * int64(time.Second) / p.rate))
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transfer is the result of one attempt for a chunk.
type transfer struct {
	chunk  int
	source rollout.Source
	data   []byte
	err    error
}

// fetcher pulls the missing chunks of one version.
type fetcher struct {
	duty    *rolloutDuty
	intent  rollout.Intent
	key     versionKey
	planner *rollout.Planner
	peers   peerView
}

// outcome translates the error of an attempt for the planner.
func outcome(err error) (rollout.Outcome, time.Duration) {
	var throttled *platform.Throttled
	switch {
	case err == nil:
		return rollout.Delivered, 0
	case errors.As(err, &throttled):
		return rollout.Throttled, throttled.RetryAfter
	case errors.Is(err, errCorrupt):
		return rollout.Corrupt, 0
	case errors.Is(err, errNotYet):
		return rollout.NotYet, 0
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return rollout.NoProgress, 0
	default:
		return rollout.Refused, 0
	}
}

// manifest fetches the encoded manifest from the store or from peers.
func (f *fetcher) manifest(ctx context.Context, want rollout.ManifestRequirements) (*rollout.Manifest, []byte, error) {
	check := func(data []byte) error {
		if digest(data) != want.Digest {
			return errCorrupt
		}
		return nil
	}
	var encoded []byte
	err := f.all(ctx, []int{rollout.ManifestIndex}, maxManifestBytes, check, func(_ int, data []byte) { encoded = data })
	if err != nil {
		return nil, nil, err
	}
	m, err := rollout.ParseManifest(encoded, want)
	return m, encoded, err
}

// chunks fetches all chunks of the manifest that are not held.
func (f *fetcher) chunks(ctx context.Context, m *rollout.Manifest) error {
	var missing []int
	for _, c := range m.Chunks {
		if !f.duty.store.has(c.SHA256) {
			missing = append(missing, c.Index)
		}
	}
	held := len(m.Chunks) - len(missing)
	state := f.duty.agent.state
	state.setChunks(held, len(m.Chunks))
	return f.each(ctx, missing, m, func(index int, data []byte) {
		f.duty.store.put(m, m.Chunks[index], data)
		held++
		state.setChunks(held, len(m.Chunks))
	})
}

func (f *fetcher) each(ctx context.Context, missing []int, m *rollout.Manifest, put func(int, []byte)) error {
	pull := func(ctx context.Context, index int, attempt rollout.Attempt) ([]byte, error) {
		c := m.Chunks[index]
		return f.pull(ctx, index, attempt, c.Size, true, func(data []byte) error {
			if int64(len(data)) != c.Size || digest(data) != c.SHA256 {
				return errCorrupt
			}
			return nil
		})
	}
	return f.loop(ctx, missing, pull, put)
}

func (f *fetcher) all(ctx context.Context, missing []int, limit int64, check func([]byte) error, put func(int, []byte)) error {
	pull := func(ctx context.Context, index int, attempt rollout.Attempt) ([]byte, error) {
		return f.pull(ctx, index, attempt, limit, false, check)
	}
	return f.loop(ctx, missing, pull, put)
}

// pullFunc makes one attempt for a chunk.
type pullFunc func(ctx context.Context, index int, attempt rollout.Attempt) ([]byte, error)

// loop keeps up to a window of attempts in flight until no chunk is missing.
// All decisions are made here; attempts only move bytes.
func (f *fetcher) loop(ctx context.Context, missing []int, pull pullFunc, put func(int, []byte)) error {
	ctx, cancel := context.WithCancel(ctx)
	var attempts sync.WaitGroup
	defer attempts.Wait()
	defer cancel()
	window := f.duty.agent.cfg.Rollout.ChunkWindow
	// The channel has room for every attempt in flight, so none blocks.
	results := make(chan transfer, window)
	state := newLoopState(missing)
	peersTick := time.NewTicker(peersEvery)
	defer peersTick.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for state.left > 0 {
		now := time.Now()
		earliest := now.Add(time.Hour)
		for _, position := range state.eligible(window) {
			if state.inFlight >= window {
				break
			}
			if state.until[position].After(now) {
				earliest = minTime(earliest, state.until[position])
				continue
			}
			attempt := f.planner.Next(missing[position], now)
			if !attempt.Ask {
				state.until[position] = attempt.Until
				earliest = minTime(earliest, attempt.Until)
				continue
			}
			state.begin(position)
			attempts.Go(func() {
				data, err := pull(ctx, missing[position], attempt)
				results <- transfer{chunk: position, source: attempt.Source, data: data, err: err}
			})
		}
		timer.Reset(max(earliest.Sub(now), minWait))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-peersTick.C:
			f.refreshPeers()
		case t := <-results:
			f.finish(state, missing[t.chunk], t, put)
		}
	}
	return nil
}

func (f *fetcher) finish(state *loopState, index int, t transfer, put func(int, []byte)) {
	result, retryAfter := outcome(t.err)
	f.planner.RecordResult(index, t.source, result, retryAfter, time.Now())
	state.end(t.chunk, t.err == nil)
	if t.err == nil {
		put(index, t.data)
		return
	}
	rolloutOutcomes.Add(result.String(), 1)
	if t.source.Origin {
		f.duty.problem(f.intent, "weight store: "+t.err.Error())
	}
	if result == rollout.Corrupt {
		f.duty.logger.Warn("chunk was corrupt", "chunk", index, "source", t.source.Peer.ID, "version", f.key.version)
	}
}

func (f *fetcher) refreshPeers() {
	if view := f.duty.peers(); view.changed(f.peers) {
		f.peers = view
		f.planner.SetTree(f.duty.tree(view))
	}
}

// loopState is which of the missing chunks are in flight or done.
type loopState struct {
	until          []time.Time
	busy, done     []bool
	first          int
	left, inFlight int
	scratch        []int
}

func newLoopState(missing []int) *loopState {
	n := len(missing)
	return &loopState{until: make([]time.Time, n), busy: make([]bool, n), done: make([]bool, n), left: n}
}

// eligible returns the idle positions that may start, in order.
func (s *loopState) eligible(window int) []int {
	for s.first < len(s.done) && s.done[s.first] {
		s.first++
	}
	s.scratch = s.scratch[:0]
	for i := s.first; i < min(len(s.done), s.first+lookahead*window); i++ {
		if !s.done[i] && !s.busy[i] {
			s.scratch = append(s.scratch, i)
		}
	}
	return s.scratch
}

func (s *loopState) begin(position int) {
	s.busy[position] = true
	s.inFlight++
}

func (s *loopState) end(position int, delivered bool) {
	s.busy[position] = false
	s.inFlight--
	s.until[position] = time.Time{}
	if delivered {
		s.done[position] = true
		s.left--
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// url returns where the source serves the chunk or the manifest.
func (f *fetcher) url(source rollout.Source, index int, wait time.Duration) string {
	if source.Origin {
		weights := f.duty.agent.weights
		if index == rollout.ManifestIndex {
			return weights.ManifestURL(f.key.model, f.key.version)
		}
		return weights.ChunkURL(f.key.model, f.key.version, index)
	}
	path := "manifest"
	if index != rollout.ManifestIndex {
		path = fmt.Sprintf("chunks/%d", index)
	}
	return fmt.Sprintf("http://%s/weights/v1/%s/%s/%s?wait_ms=%d", source.Peer.Address, f.key.model, f.key.version, path, wait.Milliseconds())
}

// pull makes one attempt. It reads at most limit bytes and one more, and ends
// when no bytes came for the deadline.
func (f *fetcher) pull(ctx context.Context, index int, attempt rollout.Attempt, limit int64, exact bool, check func([]byte) error) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The peer answers a waiting GET after the deadline at the latest, so its
	// silence for another half of it means that it is gone.
	watchdog := time.AfterFunc(attempt.Deadline*3/2, cancel)
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(attempt.Source, index, attempt.Deadline), nil)
	if err != nil {
		return nil, eris.Wrap(err, "building a chunk request")
	}
	do := f.duty.agent.peers.Do
	if attempt.Source.Origin {
		do = f.duty.agent.weights.Do
	}
	resp, err := do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, attempt.Source, limit); err != nil {
		return nil, err
	}
	if !attempt.Source.Origin {
		total := time.AfterFunc(attempt.Deadline*slowFactor, cancel)
		defer total.Stop()
	}
	size := limit
	if !exact {
		size = max(resp.ContentLength, 0)
	}
	progress := &progressReader{ctx: ctx, body: io.LimitReader(resp.Body, limit+1), pace: f.duty.downPace, watchdog: watchdog, deadline: attempt.Deadline}
	data := make([]byte, 0, size+1)
	data, err = readInto(data, progress)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return data, check(data)
}

func checkStatus(resp *http.Response, source rollout.Source, limit int64) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return &platform.Throttled{RetryAfter: platform.RetryAfter(resp.Header)}
	case resp.StatusCode == http.StatusNotFound && !source.Origin:
		return errNotYet
	case resp.StatusCode != http.StatusOK:
		return eris.Wrapf(platform.ErrRefused, "status %d", resp.StatusCode)
	case resp.ContentLength > limit:
		return errCorrupt
	}
	return nil
}

// progressReader paces a body and postpones its watchdog with each read.
type progressReader struct {
	ctx      context.Context
	body     io.Reader
	pace     *pacer
	watchdog *time.Timer
	deadline time.Duration
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), pieceBytes)])
	if n > 0 {
		r.watchdog.Stop()
		if paceErr := r.pace.take(r.ctx, n); paceErr != nil {
			return n, paceErr
		}
		r.watchdog.Reset(r.deadline)
	}
	return n, err
}

// readInto appends the body to data and grows it when needed.
func readInto(data []byte, body io.Reader) ([]byte, error) {
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// versionHash is the running hash over all chunks of a version.
type versionHash struct {
	hash.Hash
}

func newHash() versionHash {
	return versionHash{sha256.New()}
}

func (h versionHash) hex() string {
	return hex.EncodeToString(h.Sum(nil))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
