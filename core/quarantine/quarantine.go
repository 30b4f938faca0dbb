// Package quarantine finds prompt parts and whole requests that crash engines, and
// decides which requests are kept away from the engines because of them.
//
// Each entry has a Tracker. It is told of sound answers and of the requests that
// engines had just begun to answer when they crashed, at this entry and at others.
// Entries see the same crashes, so that they reach the same verdicts; verdicts are
// also exchanged for entries that missed a crash. The package does no I/O, reads
// no clock and starts no goroutine. A Tracker is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/prompt"
)

const (
	// newPartCrashes is the number of crashes after which a part without a sound
	// answer is quarantined. One crash may have another cause.
	newPartCrashes = 2
	// weakCrashes is how many more crashes it takes if some of the suspects are weak:
	// requests that waited at the engine, or whose answer it was writing, share the
	// blame with all others there.
	weakCrashes = 1
	// coldPartCrashes replaces newPartCrashes while only entries that have just
	// started saw the crashes: to them every part is new.
	coldPartCrashes = 3
	// knownPartCrashes is the number of crashes, all seen by this entry, after
	// which a part that had sound answers before is quarantined.
	knownPartCrashes = 3
	// soundMemory is how long a part counts as known after a sound answer.
	soundMemory = 10 * time.Minute
	// crashMemory is how long a crash counts against a part.
	crashMemory = 10 * time.Minute
	// warmUp is the time after the first sound answer in which an entry is cold:
	// it has seen too few requests to know most sound parts.
	warmUp = 2 * time.Second
	// coldDuration is the duration of a quarantine after coldPartCrashes. The
	// entries have warmed up when it ends, and a sound part proves itself.
	coldDuration = 4 * time.Second
	// firstDuration is the duration of a quarantine after newPartCrashes. Each
	// further crash multiplies it by durationFactor, up to maxDuration.
	firstDuration  = time.Minute
	durationFactor = 6
	maxDuration    = time.Hour
	// releaseJitter is the share of the duration by which entries differ, so that
	// after a release one of them meets the part first.
	releaseJitter = 0.5

	// maxSoundParts, maxCrashes, maxRequestsPerCrash and maxVerdicts bound the
	// memory, to about 2 MB.
	maxSoundParts       = 8192
	maxCrashes          = 128
	maxRequestsPerCrash = 48
	maxVerdicts         = 128
)

// Request is what is known of a request. Its parts are shared with other requests; Whole
// identifies the request itself, whoever sends it again under another id, and is 0 if that
// is not known.
type Request struct {
	Parts []prompt.Part
	Whole prompt.Part
}

// IsZero reports whether nothing is known that a quarantine could match.
func (r Request) IsZero() bool { return len(r.Parts) == 0 && r.Whole == 0 }

// WholeID identifies the whole request in log lines; it is empty if that is not known.
func (r Request) WholeID() string {
	if r.Whole == 0 {
		return ""
	}
	return r.Whole.String()
}

// all returns the parts and, if known, the whole request.
func (r Request) all() []prompt.Part {
	if r.Whole == 0 {
		return r.Parts
	}
	return append(slices.Clone(r.Parts), r.Whole)
}

// Suspect is a request that an engine had when it crashed.
type Suspect struct {
	// Engine identifies one start of an engine.
	Engine string `json:"engine"`
	// New lists the parts of the request's prompt without a recent sound answer
	// at the entry that sent the request, Known the others.
	New   []prompt.Part `json:"new,omitempty"`
	Known []prompt.Part `json:"known,omitempty"`
	// Whole identifies the whole request; 0 if not known.
	Whole prompt.Part `json:"whole,omitempty"`
	// Cold means that the entry had just started.
	Cold bool `json:"cold,omitempty"`
	// Weak means that the engine had not begun to answer the request, or had already
	// written a part of the answer.
	Weak bool `json:"weak,omitempty"`
}

// has reports whether the suspect has all of the parts, one of which may be the whole.
func (s Suspect) has(parts []prompt.Part) bool {
	for _, p := range parts {
		if p != s.Whole && !slices.Contains(s.New, p) && !slices.Contains(s.Known, p) {
			return false
		}
	}
	return true
}

// Verdict is the decision to keep requests that contain all of the parts away
// from the engines.
type Verdict struct {
	// Parts is sorted. It has several parts if all suspects had these in common.
	Parts []prompt.Part `json:"parts"`
	// Whole means that the only part is a whole request.
	Whole bool `json:"whole,omitempty"`
	// Crashes is the number of engine crashes attributed to the parts.
	Crashes int `json:"crashes"`
	// Remaining is the time until requests with the parts are admitted again.
	Remaining time.Duration `json:"remaining_ns"`
	// SinceFirst is the time since the first of the crashes.
	SinceFirst time.Duration `json:"since_first_ns"`
	// HadSound means that the parts had sound answers before the first crash.
	HadSound bool `json:"had_sound,omitempty"`
}

// ID identifies the verdict in log lines.
func (v Verdict) ID() string { return prompt.Format(v.Parts) }

// Matches reports whether the verdict keeps a request away.
func (v Verdict) Matches(r Request) bool { return containsAll(r.all(), v.Parts) }

// crash is what all entries saw of one engine's crash.
type crash struct {
	engine   string
	at       time.Time
	suspects []Suspect
	// local lists the known parts of this entry's own suspects, localWeak those of the
	// weak ones.
	local, localWeak []prompt.Part
	// attributed lists the verdicts that the crash counts for.
	attributed []*verdict
}

// contains reports whether a suspect of the crash has all of the parts.
func (c *crash) contains(parts []prompt.Part) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.has(parts) })
}

func containsAll(all, parts []prompt.Part) bool {
	return !slices.ContainsFunc(parts, func(p prompt.Part) bool { return !slices.Contains(all, p) })
}

type verdict struct {
	parts                 []prompt.Part
	whole                 bool
	crashes               int
	firstCrash, lastCrash time.Time
	until                 time.Time
	hadSound              bool
}

func (v *verdict) export(now time.Time) Verdict {
	return Verdict{Parts: v.parts, Whole: v.whole, Crashes: v.crashes, Remaining: v.until.Sub(now), SinceFirst: now.Sub(v.firstCrash), HadSound: v.hadSound}
}

// adopt copies another entry's verdict, which that entry sent just before now.
func (v *verdict) adopt(from Verdict, now time.Time) {
	v.crashes, v.hadSound, v.whole = from.Crashes, from.HadSound, from.Whole
	v.firstCrash, v.lastCrash = now.Add(-from.SinceFirst), now
	v.until = now.Add(min(from.Remaining, maxDuration+time.Duration(releaseJitter*float64(maxDuration))))
}

// Tracker holds one entry's evidence and verdicts.
type Tracker struct {
	rng *rand.Rand
	// sound is when the newest sound answer to a prompt with the part began.
	sound map[prompt.Part]time.Time
	// firstSound and lastSound are the times of any sound answers; zero before
	// the first one.
	firstSound, lastSound time.Time
	crashes               []*crash
	verdicts              []*verdict
}

// NewTracker returns a tracker without evidence. Entries use different seeds.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{rng: rand.New(rand.NewPCG(seed, ^seed)), sound: map[prompt.Part]time.Time{}}
}

// RecordSound records that an engine began to answer a request at the given time and
// did not crash. It ends the quarantines that the answer refutes and returns them.
func (t *Tracker) RecordSound(r Request, began, now time.Time) (released []Verdict) {
	parts := r.Parts
	if t.isSuspect(r.Whole) {
		// Other requests are not remembered one by one.
		parts = r.all()
	}
	if t.firstSound.IsZero() {
		t.firstSound = now
	}
	if began.After(t.lastSound) {
		t.lastSound = began
	}
	for _, p := range parts {
		if began.After(t.sound[p]) {
			t.setSound(p, began)
		}
	}
	t.verdicts = slices.DeleteFunc(t.verdicts, func(v *verdict) bool {
		refuted := containsAll(parts, v.parts) && began.After(v.lastCrash)
		if refuted && now.Before(v.until) {
			released = append(released, v.export(now))
		}
		return refuted
	})
	return released
}

// setSound evicts the oldest of a few parts when the memory is full, which is
// cheaper than an exact order and keeps parts in frequent use.
func (t *Tracker) setSound(p prompt.Part, at time.Time) {
	const candidates = 8
	if _, known := t.sound[p]; !known && len(t.sound) >= maxSoundParts {
		var oldest prompt.Part
		checked := 0
		for q, soundAt := range t.sound {
			if checked == 0 || soundAt.Before(t.sound[oldest]) {
				oldest = q
			}
			if checked++; checked == candidates {
				break
			}
		}
		delete(t.sound, oldest)
	}
	t.sound[p] = at
}

// Suspect describes a request that this entry had at an engine when it crashed.
func (t *Tracker) Suspect(engine string, r Request, now time.Time) Suspect {
	s := Suspect{Engine: engine, Whole: r.Whole, Cold: t.firstSound.IsZero() || now.Sub(t.firstSound) < warmUp}
	for _, p := range r.Parts {
		if t.isKnown(p, now) {
			s.Known = append(s.Known, p)
		} else {
			s.New = append(s.New, p)
		}
	}
	return s
}

func (t *Tracker) isKnown(p prompt.Part, now time.Time) bool {
	at, ok := t.sound[p]
	return ok && now.Sub(at) < soundMemory
}

// Observer says which entry saw a crash.
type Observer int

// Observers of a crash.
const (
	ThisEntry Observer = iota
	OtherEntry
)

// RecordCrash records a suspect of a crash and returns the verdicts that it
// changes.
func (t *Tracker) RecordCrash(s Suspect, by Observer, now time.Time) []Verdict {
	c := t.crashOf(s.Engine, now)
	if len(c.suspects) >= maxRequestsPerCrash {
		return nil
	}
	c.suspects = append(c.suspects, s)
	switch {
	case by == OtherEntry:
	case s.Weak:
		c.localWeak = append(c.localWeak, s.Known...)
	default:
		c.local = append(c.local, s.Known...)
	}
	changed := t.attribute(c, now)
	changed = append(changed, t.judge(now)...)
	out := make([]Verdict, len(changed))
	for i, v := range changed {
		out[i] = v.export(now)
	}
	return out
}

func (t *Tracker) crashOf(engine string, now time.Time) *crash {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= crashMemory })
	for _, c := range t.crashes {
		if c.engine == engine {
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	c := &crash{engine: engine, at: now}
	t.crashes = append(t.crashes, c)
	return c
}

// attribute counts a crash for the existing verdicts that explain it, once each,
// and renews them. It returns the verdicts changed.
func (t *Tracker) attribute(c *crash, now time.Time) (changed []*verdict) {
	for _, v := range t.verdicts {
		if slices.Contains(c.attributed, v) || !c.contains(v.parts) {
			continue
		}
		c.attributed = append(c.attributed, v)
		t.raise(v, v.crashes+1, now)
		changed = append(changed, v)
	}
	return changed
}

// raise records a further crash of a verdict and prolongs it.
func (t *Tracker) raise(v *verdict, crashes int, now time.Time) {
	v.crashes = crashes
	t.renew(v, quarantineDuration(crashes), now)
}

func (t *Tracker) renew(v *verdict, duration time.Duration, now time.Time) {
	v.lastCrash = now
	duration += time.Duration(releaseJitter * t.rng.Float64() * float64(duration))
	if until := now.Add(duration); until.After(v.until) {
		v.until = until
	}
}

func quarantineDuration(crashes int) time.Duration {
	duration := firstDuration
	for range crashes - newPartCrashes {
		duration = min(durationFactor*duration, maxDuration)
	}
	return duration
}

// judge looks for requests and parts that explain several crashes that no verdict explains
// yet. It takes those that explain most crashes first, so that a sound part is not
// blamed for crashes at which another part was present each time. Whole requests come
// before their parts, because a verdict on them keeps nothing else away.
func (t *Tracker) judge(now time.Time) (added []*verdict) {
	for {
		v, basis := t.judgeWhole(now)
		if v == nil {
			v, basis = t.judgeParts(now)
		}
		if v == nil {
			return added
		}
		v.hadSound, v.firstCrash = basis == localCrashes, now
		for _, c := range t.crashes {
			if t.explained(c) || !c.contains(v.parts) {
				continue
			}
			c.attributed = append(c.attributed, v)
			v.crashes++
			if c.at.Before(v.firstCrash) {
				v.firstCrash = c.at
			}
		}
		duration := quarantineDuration(v.crashes)
		if basis == coldCrashes {
			duration = coldDuration
		}
		t.renew(v, duration, now)
		added = append(added, v)
	}
}

// judgeParts returns a verdict on parts, or nil.
func (t *Tracker) judgeParts(now time.Time) (*verdict, basis) {
	evidence := t.partEvidence()
	part, basis := t.worstPart(evidence, now)
	if basis == noBasis {
		return nil, noBasis
	}
	return t.addVerdict(commonParts(part, evidence)), basis
}

// explained reports whether a verdict on parts explains a crash.
func (t *Tracker) explained(c *crash) bool {
	return slices.ContainsFunc(c.attributed, func(v *verdict) bool { return !v.whole })
}

// basis is the kind of evidence for a verdict.
type basis int

const (
	noBasis basis = iota
	// newCrashes means that warmed-up entries saw the crashes of a new part.
	newCrashes
	// coldCrashes means that cold entries saw some of them.
	coldCrashes
	// localCrashes means that this entry saw the crashes of a known part.
	localCrashes
)

// worstPart returns the part with most crashes among those that have enough, and
// the evidence for it.
func (t *Tracker) worstPart(crashes []*crash, now time.Time) (prompt.Part, basis) {
	kinds := []struct {
		basis    basis
		atLeast  int
		accepted func(c *crash) []prompt.Part
	}{
		{newCrashes, newPartCrashes, func(c *crash) []prompt.Part {
			return t.candidates(c, now, func(s Suspect) bool { return !s.Cold && !s.Weak })
		}},
		{newCrashes, newPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return t.candidates(c, now, func(s Suspect) bool { return !s.Cold })
		}},
		{coldCrashes, coldPartCrashes, func(c *crash) []prompt.Part {
			return t.candidates(c, now, func(s Suspect) bool { return !s.Weak })
		}},
		{coldCrashes, coldPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return t.candidates(c, now, func(Suspect) bool { return true })
		}},
		{localCrashes, knownPartCrashes, func(c *crash) []prompt.Part { return t.unproven(c, c.local) }},
		{localCrashes, knownPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return t.unproven(c, slices.Concat(c.local, c.localWeak))
		}},
	}
	for _, kind := range kinds {
		counts := map[prompt.Part]int{}
		for _, c := range crashes {
			for _, p := range kind.accepted(c) {
				counts[p]++
			}
		}
		if part, found := most(counts, kind.atLeast); found {
			return part, kind.basis
		}
	}
	return 0, noBasis
}

// unproven returns those of the known parts without a sound answer that began after the
// crash. Other answers since then show that engines work, so that the lack of one for
// these parts means something.
func (t *Tracker) unproven(c *crash, known []prompt.Part) []prompt.Part {
	if !t.lastSound.After(c.at) {
		return nil
	}
	return slices.DeleteFunc(dedupe(slices.Clone(known)), func(p prompt.Part) bool { return !t.sound[p].Before(c.at) })
}

// most returns the part with the highest count if that is at least atLeast; of
// equal ones it returns the lowest id, so that entries agree.
func most(counts map[prompt.Part]int, atLeast int) (part prompt.Part, found bool) {
	highest := atLeast
	for p, n := range counts {
		if n > highest || n == highest && (!found || p < part) {
			part, highest, found = p, n, true
		}
	}
	return part, found
}

// candidates returns the new parts of those suspects of a crash that match, without
// parts that this entry knows as sound.
func (t *Tracker) candidates(c *crash, now time.Time, match func(Suspect) bool) []prompt.Part {
	var out []prompt.Part
	for _, s := range c.suspects {
		if !match(s) {
			continue
		}
		for _, p := range s.New {
			if !t.isKnown(p, now) {
				out = append(out, p)
			}
		}
	}
	return dedupe(out)
}

func dedupe(parts []prompt.Part) []prompt.Part {
	slices.Sort(parts)
	return slices.Compact(parts)
}

// commonParts returns the parts that all suspects with the given part have in
// common. Known parts of a suspect are left out unless the part itself is known.
func commonParts(part prompt.Part, crashes []*crash) []prompt.Part {
	var common []prompt.Part
	for _, c := range crashes {
		for _, s := range c.suspects {
			if !slices.Contains(s.New, part) {
				continue
			}
			if common == nil {
				common = slices.Clone(s.New)
				continue
			}
			common = slices.DeleteFunc(common, func(p prompt.Part) bool { return !slices.Contains(s.New, p) })
		}
	}
	if common == nil {
		common = []prompt.Part{part}
	}
	return dedupe(common)
}

func (t *Tracker) addVerdict(parts []prompt.Part) *verdict {
	if len(t.verdicts) >= maxVerdicts {
		first := slices.MinFunc(t.verdicts, func(a, b *verdict) int { return a.until.Compare(b.until) })
		t.verdicts = slices.DeleteFunc(t.verdicts, func(v *verdict) bool { return v == first })
	}
	v := &verdict{parts: parts}
	t.verdicts = append(t.verdicts, v)
	return v
}

// Adopt takes over another entry's verdict unless this entry knows a newer one of
// the same parts, or had sound answers that refute it. It reports whether the
// verdict changed anything.
func (t *Tracker) Adopt(v Verdict, now time.Time) bool {
	if len(v.Parts) == 0 || len(v.Parts) > prompt.MaxParts || v.Crashes < newPartCrashes || v.Remaining <= 0 {
		return false
	}
	v.Parts = dedupe(slices.Clone(v.Parts))
	if t.refutes(v, now) {
		return false
	}
	for _, own := range t.verdicts {
		if !slices.Equal(own.parts, v.Parts) {
			continue
		}
		if v.Crashes <= own.crashes {
			return false
		}
		own.adopt(v, now)
		return true
	}
	own := t.addVerdict(v.Parts)
	own.adopt(v, now)
	for _, c := range t.crashes {
		if c.contains(v.Parts) {
			c.attributed = append(c.attributed, own)
		}
	}
	return true
}

// refutes reports whether all parts of a verdict had sound answers at this entry
// that speak against it: after the first crash, or, if the parts are said to be
// new, at any time remembered.
func (t *Tracker) refutes(v Verdict, now time.Time) bool {
	since := soundMemory
	if v.HadSound {
		since = v.SinceFirst
	}
	return !slices.ContainsFunc(v.Parts, func(p prompt.Part) bool {
		at, ok := t.sound[p]
		return !ok || now.Sub(at) >= since
	})
}

// Match returns the verdict, if any, that keeps a request away from the engines.
func (t *Tracker) Match(r Request, now time.Time) (Verdict, bool) {
	all := r.all()
	for _, v := range t.verdicts {
		if now.Before(v.until) && containsAll(all, v.parts) {
			return v.export(now), true
		}
	}
	return Verdict{}, false
}

// Active returns the verdicts in force, those with most crashes first.
func (t *Tracker) Active(now time.Time) []Verdict {
	var out []Verdict
	for _, v := range t.verdicts {
		if now.Before(v.until) {
			out = append(out, v.export(now))
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(b.Crashes, a.Crashes) })
	return out
}
