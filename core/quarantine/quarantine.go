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

	// maxSoundParts, maxCrashes, maxRequestsPerCrash, maxSuspectParts and maxVerdicts bound
	// the memory, to about 6 MB. A prompt may have thousands of parts.
	maxSoundParts       = 65536
	maxCrashes          = 128
	maxRequestsPerCrash = 48
	maxSuspectParts     = 131072
	maxVerdicts         = 128
	// MaxVerdictParts is the largest number of parts of a verdict. A notice holds several
	// verdicts.
	MaxVerdictParts = 16
)

// Dropped counts what a tracker has forgotten because its memory is bounded.
type Dropped struct {
	// SoundParts had sound answers. They count as new again.
	SoundParts int64
	// Crashes were the oldest ones.
	Crashes int64
	// Suspects were of crashes that have many.
	Suspects int64
	// VerdictParts were left out of verdicts, which keep more requests away without them.
	VerdictParts int64
}

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

// contains reports whether the request has all of the parts, one of which may be the whole.
func (r Request) contains(parts []prompt.Part) bool {
	return !slices.ContainsFunc(parts, func(p prompt.Part) bool {
		return (r.Whole == 0 || p != r.Whole) && !slices.Contains(r.Parts, p)
	})
}

// Suspect is a request that an engine had when it crashed.
type Suspect struct {
	// Engine identifies one start of an engine.
	Engine string `json:"engine"`
	// Split identifies a suspect that is told of in several pieces; 0 for one in one piece.
	Split uint64 `json:"split,omitempty"`
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

// Pieces returns suspects with at most size parts each that together tell of this one. A
// tracker that is told of them puts them together; id identifies the suspect there. New
// parts come first.
func (s Suspect) Pieces(size int, id uint64) (pieces []Suspect) {
	if len(s.New)+len(s.Known) <= size {
		return []Suspect{s}
	}
	unknown, known := s.New, s.Known
	for len(unknown)+len(known) > 0 {
		piece := s
		piece.Split = id
		n := min(len(unknown), size)
		k := min(len(known), size-n)
		piece.New, piece.Known = unknown[:n], known[:k]
		unknown, known = unknown[n:], known[k:]
		pieces = append(pieces, piece)
	}
	return pieces
}

// has reports whether the suspect, whose parts are sorted, has all of the parts, one of
// which may be the whole.
func (s *Suspect) has(parts []prompt.Part) bool {
	for _, p := range parts {
		if p != s.Whole && !sortedContains(s.New, p) && !sortedContains(s.Known, p) {
			return false
		}
	}
	return true
}

func sortedContains(sorted []prompt.Part, p prompt.Part) bool {
	_, found := slices.BinarySearch(sorted, p)
	return found
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
func (v Verdict) Matches(r Request) bool { return r.contains(v.Parts) }

// crash is what all entries saw of one engine's crash.
type crash struct {
	engine string
	at     time.Time
	// suspects have sorted parts.
	suspects []Suspect
	// local lists the known parts of this entry's own suspects, localWeak those of the
	// weak ones, both sorted.
	local, localWeak []prompt.Part
	// attributed lists the verdicts that the crash counts for.
	attributed []*verdict
}

// contains reports whether a suspect of the crash has all of the parts.
func (c *crash) contains(parts []prompt.Part) bool {
	for i := range c.suspects {
		if c.suspects[i].has(parts) {
			return true
		}
	}
	return false
}

// add adds a suspect, or a piece of one to the others, and returns it. It returns false if
// the crash has too many.
func (c *crash) add(s Suspect) (whole Suspect, ok bool) {
	s.New, s.Known = union(nil, s.New), union(nil, s.Known)
	if s.Split != 0 {
		for i := range c.suspects {
			if known := &c.suspects[i]; known.Split == s.Split {
				known.New, known.Known = union(known.New, s.New), union(known.Known, s.Known)
				return *known, true
			}
		}
	}
	if len(c.suspects) >= maxRequestsPerCrash {
		return Suspect{}, false
	}
	c.suspects = append(c.suspects, s)
	return s, true
}

// size is the number of parts that the crash holds.
func (c *crash) size() int {
	n := len(c.local) + len(c.localWeak)
	for i := range c.suspects {
		n += len(c.suspects[i].New) + len(c.suspects[i].Known)
	}
	return n
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
	dropped               Dropped
}

// NewTracker returns a tracker without evidence. Entries use different seeds.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{rng: rand.New(rand.NewPCG(seed, ^seed)), sound: map[prompt.Part]time.Time{}}
}

// RecordSound records that an engine began to answer a request at the given time and
// did not crash. It ends the quarantines that the answer refutes and returns them.
func (t *Tracker) RecordSound(r Request, began, now time.Time) (released []Verdict) {
	if !t.isSuspect(r.Whole) {
		// Other requests are not remembered one by one.
		r.Whole = 0
	}
	if t.firstSound.IsZero() {
		t.firstSound = now
	}
	if began.After(t.lastSound) {
		t.lastSound = began
	}
	for _, p := range r.Parts {
		t.setSound(p, began)
	}
	if r.Whole != 0 {
		t.setSound(r.Whole, began)
	}
	t.verdicts = slices.DeleteFunc(t.verdicts, func(v *verdict) bool {
		refuted := began.After(v.lastCrash) && r.contains(v.parts)
		if refuted && now.Before(v.until) {
			released = append(released, v.export(now))
		}
		return refuted
	})
	return released
}

// setSound records a sound answer. When the memory is full it evicts the oldest of a few
// parts, which is cheaper than an exact order and keeps parts in frequent use.
func (t *Tracker) setSound(p prompt.Part, at time.Time) {
	const candidates = 8
	newest, known := t.sound[p]
	if !at.After(newest) {
		return
	}
	if !known && len(t.sound) >= maxSoundParts {
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
		t.dropped.SoundParts++
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
	fits := t.fits(c, len(s.New)+2*len(s.Known))
	if fits {
		s, fits = c.add(s)
	}
	if !fits {
		t.dropped.Suspects++
		return nil
	}
	switch {
	case by == OtherEntry:
	case s.Weak:
		c.localWeak = union(c.localWeak, s.Known)
	default:
		c.local = union(c.local, s.Known)
	}
	changed := t.attribute(c, now)
	changed = append(changed, t.judge(s.New, now)...)
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
		t.dropped.Crashes++
	}
	c := &crash{engine: engine, at: now}
	t.crashes = append(t.crashes, c)
	return c
}

// fits makes room for further parts of a crash by forgetting the oldest other ones. It
// returns false if the crash alone is too large.
func (t *Tracker) fits(c *crash, parts int) bool {
	total := parts
	for _, other := range t.crashes {
		total += other.size()
	}
	for total > maxSuspectParts {
		oldest := slices.IndexFunc(t.crashes, func(other *crash) bool { return other != c && other.size() > 0 })
		if oldest < 0 {
			return false
		}
		total -= t.crashes[oldest].size()
		t.crashes = slices.Delete(t.crashes, oldest, oldest+1)
		t.dropped.Crashes++
	}
	return true
}

// Dropped returns what the tracker has forgotten since its start.
func (t *Tracker) Dropped() Dropped { return t.dropped }

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
// before their parts, because a verdict on them keeps nothing else away. latest are the new
// parts, sorted, of the suspect that was recorded last: only for these has the evidence grown.
func (t *Tracker) judge(latest []prompt.Part, now time.Time) (added []*verdict) {
	for {
		v, basis := t.judgeWhole(now)
		if v == nil {
			v, basis = t.judgeParts(latest, now)
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
func (t *Tracker) judgeParts(latest []prompt.Part, now time.Time) (*verdict, basis) {
	evidence := t.partEvidence()
	part, basis := t.worstPart(evidence, t.recurring(latest, evidence, now))
	if basis == noBasis {
		return nil, noBasis
	}
	parts := commonParts(part, evidence)
	if len(parts) > MaxVerdictParts {
		t.dropped.VerdictParts += int64(len(parts) - MaxVerdictParts)
		parts = shorten(parts, part)
	}
	return t.addVerdict(parts), basis
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

// recurring returns those of some sorted parts that are new in suspects of several crashes,
// and that this entry doesn't know as sound.
func (t *Tracker) recurring(parts []prompt.Part, crashes []*crash, now time.Time) (out []prompt.Part) {
	counts := make([]int, len(parts))
	inCrash := make([]bool, len(parts))
	for _, c := range crashes {
		clear(inCrash)
		for i := range c.suspects {
			markCommon(inCrash, parts, c.suspects[i].New)
		}
		for i, found := range inCrash {
			if found {
				counts[i]++
			}
		}
	}
	for i, p := range parts {
		if counts[i] >= newPartCrashes && !t.isKnown(p, now) {
			out = append(out, p)
		}
	}
	return out
}

// markCommon marks the parts that are among others; both are sorted.
func markCommon(marks []bool, parts, others []prompt.Part) {
	for i, j := 0, 0; i < len(parts) && j < len(others); {
		switch {
		case parts[i] < others[j]:
			i++
		case parts[i] > others[j]:
			j++
		default:
			marks[i] = true
			i++
			j++
		}
	}
}

// worstPart returns the part with most crashes among those that have enough, and
// the evidence for it. New parts are looked for among some candidates only.
func (t *Tracker) worstPart(crashes []*crash, candidates []prompt.Part) (prompt.Part, basis) {
	kinds := []struct {
		basis    basis
		atLeast  int
		accepted func(c *crash) []prompt.Part
	}{
		{newCrashes, newPartCrashes, func(c *crash) []prompt.Part {
			return c.newAmong(candidates, func(s *Suspect) bool { return !s.Cold && !s.Weak })
		}},
		{newCrashes, newPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return c.newAmong(candidates, func(s *Suspect) bool { return !s.Cold })
		}},
		{coldCrashes, coldPartCrashes, func(c *crash) []prompt.Part {
			return c.newAmong(candidates, func(s *Suspect) bool { return !s.Weak })
		}},
		{coldCrashes, coldPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return c.newAmong(candidates, func(*Suspect) bool { return true })
		}},
		{localCrashes, knownPartCrashes, func(c *crash) []prompt.Part { return t.unproven(c, c.local) }},
		{localCrashes, knownPartCrashes + weakCrashes, func(c *crash) []prompt.Part {
			return t.unproven(c, union(c.local, c.localWeak))
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
// these parts means something. The parts are sorted.
func (t *Tracker) unproven(c *crash, known []prompt.Part) (out []prompt.Part) {
	if !t.lastSound.After(c.at) {
		return nil
	}
	for _, p := range known {
		if t.sound[p].Before(c.at) {
			out = append(out, p)
		}
	}
	return out
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

// newAmong returns those of some parts that are new in suspects that match.
func (c *crash) newAmong(parts []prompt.Part, match func(s *Suspect) bool) (out []prompt.Part) {
	for _, p := range parts {
		for i := range c.suspects {
			if s := &c.suspects[i]; match(s) && sortedContains(s.New, p) {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// union returns the parts of both lists, sorted.
func union(a, b []prompt.Part) []prompt.Part { return dedupe(slices.Concat(a, b)) }

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
			if !sortedContains(s.New, part) {
				continue
			}
			if common == nil {
				common = slices.Clone(s.New)
				continue
			}
			common = slices.DeleteFunc(common, func(p prompt.Part) bool { return !sortedContains(s.New, p) })
		}
	}
	if common == nil {
		common = []prompt.Part{part}
	}
	return dedupe(common)
}

// shorten returns the lowest of some sorted parts, and one that must be among them.
func shorten(parts []prompt.Part, with prompt.Part) []prompt.Part {
	out := slices.Clone(parts[:MaxVerdictParts])
	if !sortedContains(out, with) {
		out[MaxVerdictParts-1] = with
	}
	return out
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
	if len(v.Parts) == 0 || len(v.Parts) > MaxVerdictParts || v.Crashes < newPartCrashes || v.Remaining <= 0 {
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
	for _, v := range t.verdicts {
		if now.Before(v.until) && r.contains(v.parts) {
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
