package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"expvar"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// soundAfter is how long an engine must go on after the first event of an
	// answer until the answer counts as sound. Engines crash when they begin.
	soundAfter = 500 * time.Millisecond
	// crashProbeTimeout limits the connection attempt that tells a crashed engine,
	// whose machine refuses it, from a broken connection. A round trip takes
	// under 10 ms.
	crashProbeTimeout = 150 * time.Millisecond
)

var containmentTotal = expvar.NewMap("gateway_containment_total")

// identify sets what a quarantine may match. A request is the same as an earlier one if all
// that determines its answer is, whoever sends it. Requests without a prompt have no
// identity: they are short, and many are equal.
func (r *request) identify() {
	r.identity.Parts = r.call.PromptParts
	if r.call.OwnPart == 0 && len(r.call.PromptParts) == 0 {
		return
	}
	h := sha256.New()
	for _, field := range []string{
		r.in.Method, r.in.Host, r.in.URL.RequestURI(), r.call.Model, prompt.Format(r.call.PromptParts), r.call.OwnPart.String(),
	} {
		_, _ = io.WriteString(h, strconv.Quote(field))
	}
	// Write of a hash never returns an error.
	_ = r.body.writeTo(h)
	r.identity.Whole = prompt.Part(binary.BigEndian.Uint64(h.Sum(nil)))
}

// containment keeps prompts that crash engines away from them.
type containment struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// waiting holds the attempts whose engine has sent no event yet.
	waiting map[*waitingAttempt]struct{}
	probes  crashProbes
	// dropped is what the tracker had forgotten when it was counted last, logged what it had
	// when that was logged, at loggedAt.
	dropped, logged quarantine.Dropped
	loggedAt        time.Time
}

// waitingAttempt is an attempt that has no event yet.
type waitingAttempt struct {
	request quarantine.Request
	cancel  context.CancelFunc
	// verdict is the reason why the attempt was cancelled; nil if it wasn't.
	verdict atomic.Pointer[quarantine.Verdict]
}

func newContainment(seed uint64) *containment {
	return &containment{tracker: quarantine.NewTracker(seed), waiting: map[*waitingAttempt]struct{}{}, probes: crashProbes{recent: map[string]*crashProbe{}}}
}

// quarantined returns the verdict that keeps a request away from the engines.
func (g *Gateway) quarantined(r quarantine.Request) (quarantine.Verdict, bool) {
	if r.IsZero() {
		return quarantine.Verdict{}, false
	}
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	return g.containment.tracker.Match(r, bootclock.Now())
}

// addWaiting registers an attempt, which a verdict cancels until removeWaiting.
func (g *Gateway) addWaiting(r quarantine.Request, cancel context.CancelFunc) *waitingAttempt {
	a := &waitingAttempt{request: r, cancel: cancel}
	if r.IsZero() {
		return a
	}
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	g.containment.waiting[a] = struct{}{}
	return a
}

func (g *Gateway) removeWaiting(a *waitingAttempt) {
	if a.request.IsZero() {
		return
	}
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	delete(g.containment.waiting, a)
}

// recordSound records that an engine wrote an answer, or a good part of one, that
// it began at the given time, and that this speaks for what is given of the request.
func (g *Gateway) recordSound(req *request, sound quarantine.Request, began time.Time) {
	if sound.IsZero() {
		return
	}
	now := bootclock.Now()
	// began is a time of the runtime's clock, which stands still while the VM is
	// suspended.
	began = now.Add(-time.Since(began))
	g.containment.mu.Lock()
	released := g.containment.tracker.RecordSound(sound, began, now)
	g.containment.mu.Unlock()
	g.countDropped(now)
	for _, v := range released {
		containmentTotal.Add("released", 1)
		g.cfg.Log.Event("prompt_released", "quarantine", v.ID(), "request", req.call.RequestID, "crashes", v.Crashes)
	}
}

// checkCrash finds out whether an engine crashed under a request, and records the request
// as a suspect if so. At whatever point the attempt broke, an engine that refuses
// connections directly afterwards has crashed. Weak tells that the point speaks less
// against this request than against others. The parts of a prompt are no suspects once a
// good part of its answer has spoken for them.
func (g *Gateway) checkCrash(req *request, e *exchange, weak bool) {
	if req.identity.IsZero() || !e.sent || errors.Is(e.err, errWrongRequestID) || errors.Is(e.err, errInvalidHeader) || errors.Is(e.err, errNoFinalStatus) {
		return
	}
	e.crash = g.containment.probes.state(e.choice.Server)
	if e.crash != engineRefuses {
		return
	}
	now, suspected := bootclock.Now(), req.identity
	if e.writingTime() >= soundAfter {
		suspected.Parts = nil
	}
	g.containment.mu.Lock()
	suspect := g.containment.tracker.Suspect(incarnation(e.choice.Server), suspected, now)
	suspect.Weak = weak
	g.containment.mu.Unlock()
	containmentTotal.Add("suspects", 1)
	g.cfg.Log.Event("crash_suspect", "request", req.call.RequestID, "server", e.choice.Server.ID, "weak", weak, "events", e.events,
		"incarnation", suspect.Engine, "new_parts", prompt.Summary(suspect.New), "known_parts", prompt.Summary(suspect.Known),
		"whole", req.identity.WholeID())
	verdicts := g.recordCrash(suspect, quarantine.ThisEntry, now)
	if g.cfg.OnSuspect != nil {
		g.cfg.OnSuspect(suspect, verdicts)
	}
}

// incarnation identifies one start of a server, which may keep its id.
func incarnation(s placement.Server) string {
	return s.ID + "@" + strconv.FormatInt(s.Born, 10)
}

// engineState is what a connection attempt tells about an engine. It is empty if none was
// made.
type engineState string

const (
	// engineRefuses means that the engine's machine refuses connections.
	engineRefuses engineState = "refuses"
	engineAccepts engineState = "accepts"
	// engineSilent means that the machine doesn't answer.
	engineSilent engineState = "silent"
)

// crashProbes tells crashed engines from broken connections. The requests that break at the
// same time share one connection attempt.
type crashProbes struct {
	mu     sync.Mutex
	recent map[string]*crashProbe
}

// crashProbe is a connection attempt; state is valid once done is closed.
type crashProbe struct {
	begun time.Time
	done  chan struct{}
	state engineState
}

// crashProbeSharing is how long after the begin of a connection attempt requests of the
// same incarnation use its result. All connections to an engine that crashes break within
// milliseconds.
const crashProbeSharing = 50 * time.Millisecond

func (p *crashProbes) state(s placement.Server) engineState {
	id, now := incarnation(s), time.Now()
	p.mu.Lock()
	for other, probe := range p.recent {
		if now.Sub(probe.begun) > crashProbeSharing {
			delete(p.recent, other)
		}
	}
	probe, shared := p.recent[id]
	if !shared {
		probe = &crashProbe{begun: now, done: make(chan struct{})}
		p.recent[id] = probe
	}
	p.mu.Unlock()
	if !shared {
		probe.state = probeEngine(s.Address)
		close(probe.done)
	}
	<-probe.done
	return probe.state
}

// probeEngine opens a connection to an engine, for crashProbeTimeout at most.
func probeEngine(address string) engineState {
	conn, err := (&net.Dialer{Timeout: crashProbeTimeout, KeepAlive: -1}).Dial("tcp4", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return engineAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineRefuses
	default:
		return engineSilent
	}
}

// RecordCrash records a suspect that another entry saw.
func (g *Gateway) RecordCrash(suspect quarantine.Suspect) {
	containmentTotal.Add("suspects_of_others", 1)
	g.recordCrash(suspect, quarantine.OtherEntry, bootclock.Now())
}

func (g *Gateway) recordCrash(suspect quarantine.Suspect, by quarantine.Observer, now time.Time) []quarantine.Verdict {
	g.containment.mu.Lock()
	verdicts := g.containment.tracker.RecordCrash(suspect, by, now)
	g.containment.cancelMatching(verdicts)
	g.containment.mu.Unlock()
	g.countDropped(now)
	for _, v := range verdicts {
		g.logVerdict(v, "evidence", suspect.Engine)
	}
	return verdicts
}

// droppedLogInterval is the least time between two log lines on what the tracker forgets,
// which may be something with each request.
const droppedLogInterval = 10 * time.Second

// countDropped counts and logs what the tracker forgets because its memory is bounded.
func (g *Gateway) countDropped(now time.Time) {
	c := g.containment
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := c.tracker.Dropped()
	if dropped != c.dropped {
		containmentTotal.Add("dropped_sound_parts", dropped.SoundParts-c.dropped.SoundParts)
		containmentTotal.Add("dropped_crashes", dropped.Crashes-c.dropped.Crashes)
		containmentTotal.Add("dropped_suspects", dropped.Suspects-c.dropped.Suspects)
		containmentTotal.Add("dropped_verdict_parts", dropped.VerdictParts-c.dropped.VerdictParts)
		c.dropped = dropped
	}
	if dropped == c.logged || !c.loggedAt.IsZero() && now.Sub(c.loggedAt) < droppedLogInterval {
		return
	}
	g.cfg.Log.Event("crash_evidence_dropped", "sound_parts", dropped.SoundParts-c.logged.SoundParts, "crashes", dropped.Crashes-c.logged.Crashes,
		"suspects", dropped.Suspects-c.logged.Suspects, "verdict_parts", dropped.VerdictParts-c.logged.VerdictParts)
	c.logged, c.loggedAt = dropped, now
}

// AdoptVerdicts takes over verdicts of other entries, or of the store.
func (g *Gateway) AdoptVerdicts(verdicts []quarantine.Verdict, source string) {
	now := bootclock.Now()
	g.containment.mu.Lock()
	var adopted []quarantine.Verdict
	for _, v := range verdicts {
		if g.containment.tracker.Adopt(v, now) {
			adopted = append(adopted, v)
		}
	}
	g.containment.cancelMatching(adopted)
	g.containment.mu.Unlock()
	for _, v := range adopted {
		g.logVerdict(v, source, "")
	}
}

// ActiveVerdicts returns the verdicts in force, those with most crashes first.
func (g *Gateway) ActiveVerdicts() []quarantine.Verdict {
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	return g.containment.tracker.Active(bootclock.Now())
}

// cancelMatching ends the attempts that wait for their first event and that the
// verdicts exclude, before their engines begin with them.
func (c *containment) cancelMatching(verdicts []quarantine.Verdict) {
	for a := range c.waiting {
		for _, v := range verdicts {
			if v.Matches(a.request) {
				a.verdict.Store(&v)
				a.cancel()
			}
		}
	}
}

func (g *Gateway) logVerdict(v quarantine.Verdict, source, engine string) {
	containmentTotal.Add("verdicts", 1)
	g.cfg.Log.Event("prompt_quarantined", "quarantine", v.ID(), "whole_request", v.Whole, "crashes", v.Crashes, "remaining_ms", v.Remaining.Milliseconds(),
		"had_sound", v.HadSound, "source", source, "incarnation", engine)
}
