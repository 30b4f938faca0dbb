package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/prompt"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

const (
	common prompt.Part = iota + 1
	deadly
	rare
	other
)

// at returns the time so many milliseconds after the entry became warm.
func at(ms int) time.Time { return start.Add(warmUp + time.Duration(ms)*time.Millisecond) }

// warmTracker has had sound answers to prompts with the common part.
func warmTracker() *Tracker {
	t := NewTracker(1)
	t.RecordSound(Request{Parts: []prompt.Part{common}}, start, start)
	return t
}

// crash records a crash at this entry under a request with the parts.
func (t *Tracker) crash(engine string, now time.Time, parts ...prompt.Part) []Verdict {
	return t.RecordCrash(t.Suspect(engine, Request{Parts: parts}, now), ThisEntry, now)
}

func (t *Tracker) blocks(now time.Time, parts ...prompt.Part) bool {
	_, found := t.Match(Request{Parts: parts}, now)
	return found
}

// A new part must be kept away after two crashes, and no request without it.
func TestNewPartIsQuarantinedAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	c.Assert(tr.crash("e1", at(0), common, deadly), qt.HasLen, 0)
	c.Assert(tr.blocks(at(0), common, deadly), qt.IsFalse)
	c.Assert(tr.crash("e1", at(1), common, deadly), qt.HasLen, 0, qt.Commentf("a second request at the same engine is no second crash"))
	verdicts := tr.crash("e2", at(300), common, deadly)
	c.Assert(verdicts, qt.HasLen, 1)
	c.Assert(verdicts[0].Parts, qt.DeepEquals, []prompt.Part{deadly})
	c.Assert(tr.blocks(at(300), other, deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(300), common), qt.IsFalse)
}

// While two parts always came together, only requests with both are kept away. A
// crash with one of them alone must name it at once.
func TestPartsThatCameTogether(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.crash("e1", at(0), rare, deadly)
	tr.crash("e2", at(100), rare, deadly)
	c.Assert(tr.blocks(at(100), rare, deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(100), rare), qt.IsFalse)
	c.Assert(tr.blocks(at(100), other, deadly), qt.IsFalse)
	tr.crash("e3", at(200), other, deadly)
	tr.crash("e4", at(300), other, deadly)
	c.Assert(tr.blocks(at(300), other, deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(300), other), qt.IsFalse)
	c.Assert(tr.blocks(at(300), rare), qt.IsFalse)
}

// Requests that were at an engine when another one's prompt crashed it must not be
// blamed, though they were there at two crashes.
func TestBystanderIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.crash("e1", at(0), deadly)
	tr.crash("e2", at(100), deadly)
	tr.crash("e3", at(200), rare)
	tr.crash("e3", at(200), deadly)
	tr.crash("e4", at(300), deadly)
	tr.crash("e4", at(300), rare)
	c.Assert(tr.blocks(at(300), deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(300), rare), qt.IsFalse)
}

// Two parts at once must both be found, the second no later than the first.
func TestTwoDeadlyParts(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range 2 {
		tr.crash(fmt.Sprint("a", i), at(100*i), common, deadly)
		tr.crash(fmt.Sprint("b", i), at(100*i+50), common, rare)
	}
	c.Assert(tr.blocks(at(200), deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(200), rare), qt.IsTrue)
	c.Assert(tr.blocks(at(200), common), qt.IsFalse)
}

// Engines that crash for other causes, many at once, must not take a part away
// that had sound answers.
func TestCrashesOfOtherCausesSpareKnownParts(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range 16 {
		tr.crash(fmt.Sprint("e", i), at(i), common)
	}
	c.Assert(tr.blocks(at(20), common), qt.IsFalse)
	tr.RecordSound(Request{Parts: []prompt.Part{common}}, at(4000), at(4500))
	tr.crash("f1", at(5000), common)
	c.Assert(tr.blocks(at(5000), common), qt.IsFalse)
}

// A part that had sound answers and turned deadly must be found too, once other
// answers show that engines work.
func TestKnownPartThatTurnsDeadly(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range knownPartCrashes + 1 {
		tr.crash(fmt.Sprint("e", i), at(1000*i), common)
		tr.RecordSound(Request{Parts: []prompt.Part{other}}, at(1000*i+100), at(1000*i+600))
	}
	now := at(1000 * (knownPartCrashes + 1))
	c.Assert(tr.blocks(now, common), qt.IsTrue)
	c.Assert(tr.blocks(now, other), qt.IsFalse)
	verdict, _ := tr.Match(Request{Parts: []prompt.Part{common}}, now)
	c.Assert(verdict.HadSound, qt.IsTrue)
	// Another entry takes the verdict over unless it had a sound answer since.
	silent, serving := warmTracker(), warmTracker()
	serving.RecordSound(Request{Parts: []prompt.Part{common}}, at(2500), at(3000))
	c.Assert(silent.Adopt(verdict, now), qt.IsTrue)
	c.Assert(serving.Adopt(verdict, now), qt.IsFalse)
}

// A wrong verdict must end with the first sound answer.
func TestSoundAnswerRefutesVerdict(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.crash("e1", at(0), rare)
	tr.crash("e2", at(100), rare)
	c.Assert(tr.blocks(at(100), rare), qt.IsTrue)
	c.Assert(tr.RecordSound(Request{Parts: []prompt.Part{rare}}, at(50), at(600)), qt.HasLen, 0, qt.Commentf("began before the last crash"))
	c.Assert(tr.RecordSound(Request{Parts: []prompt.Part{rare, other}}, at(150), at(650)), qt.HasLen, 1)
	c.Assert(tr.blocks(at(650), rare), qt.IsFalse)
}

// After its time a part is admitted again. One more crash must bring the
// quarantine back at once, for longer.
func TestQuarantineGrowsWithEachCrash(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.crash("e1", at(0), deadly)
	now := at(0)
	for i := range 4 {
		verdicts := tr.crash(fmt.Sprint("f", i), now, deadly)
		c.Assert(verdicts, qt.HasLen, 1)
		c.Assert(verdicts[0].Crashes, qt.Equals, i+2)
		c.Assert(verdicts[0].Remaining >= quarantineDuration(i+2), qt.IsTrue)
		now = now.Add(verdicts[0].Remaining)
		c.Assert(tr.blocks(now.Add(-time.Millisecond), deadly), qt.IsTrue)
		c.Assert(tr.blocks(now, deadly), qt.IsFalse)
	}
}

// An entry that starts, or that missed the crashes, must take over a verdict; one
// that repeats what it knows must not prolong it.
func TestAdoptedVerdict(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.crash("e1", at(0), deadly)
	tr.crash("e2", at(100), deadly)
	verdict := tr.Active(at(100))[0]
	started := NewTracker(2)
	c.Assert(started.Adopt(verdict, at(200)), qt.IsTrue)
	c.Assert(started.blocks(at(200), deadly), qt.IsTrue)
	c.Assert(started.Adopt(verdict, at(300)), qt.IsFalse)
	verdict.Crashes++
	c.Assert(started.Adopt(verdict, at(300)), qt.IsTrue)
	// A crash that the verdict explains is not counted for another part.
	started.crash("e3", at(400), deadly, rare)
	c.Assert(started.blocks(at(400), rare), qt.IsFalse)
	for _, bad := range []Verdict{{}, {Parts: []prompt.Part{rare}, Crashes: 1, Remaining: time.Second}, {Parts: []prompt.Part{rare}, Crashes: 2}} {
		c.Assert(started.Adopt(bad, at(400)), qt.IsFalse)
	}
}

// Entries that have just started know no sound parts. Two crashes must not take a
// part away there; three must, but for a short time only, because the part may be
// one that most prompts have.
func TestColdEntryNeedsMoreCrashes(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker(1)
	tr.crash("e1", at(0), common, deadly)
	tr.crash("e2", at(100), common, deadly)
	c.Assert(tr.blocks(at(100), common, deadly), qt.IsFalse)
	verdicts := tr.crash("e3", at(200), common, deadly)
	c.Assert(verdicts, qt.HasLen, 1)
	c.Assert(verdicts[0].Remaining <= 2*coldDuration, qt.IsTrue)
	c.Assert(tr.blocks(at(200), common, deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(200), common), qt.IsFalse)
	// The next crash, when the entry has warmed up, keeps the part away for long.
	tr.RecordSound(Request{Parts: []prompt.Part{common}}, at(300), at(300))
	later := at(200).Add(verdicts[0].Remaining)
	c.Assert(tr.blocks(later, common, deadly), qt.IsFalse)
	verdicts = tr.crash("e4", later, common, deadly)
	c.Assert(verdicts, qt.HasLen, 1)
	c.Assert(verdicts[0].Remaining >= quarantineDuration(4), qt.IsTrue)
}

// A cold entry must not blame a part for two crashes, nor another entry that knows
// the part as sound.
func TestColdEntrySparesSoundParts(t *testing.T) {
	c := qt.New(t)
	cold, warm := NewTracker(1), warmTracker()
	for i := range 4 {
		s := cold.Suspect(fmt.Sprint("e", i), Request{Parts: []prompt.Part{common}}, at(i))
		cold.RecordCrash(s, ThisEntry, at(i))
		warm.RecordCrash(s, OtherEntry, at(i))
	}
	c.Assert(warm.blocks(at(4), common), qt.IsFalse)
}

// Requests with ever new parts must not fill the memory.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range 3 * maxSoundParts {
		tr.RecordSound(Request{Parts: []prompt.Part{prompt.Part(i)}}, at(i), at(i))
	}
	for i := range 3 * maxCrashes {
		now := at(i)
		part := prompt.Part(1<<40 + i/2)
		tr.crash(fmt.Sprint("e", i), now, part)
		for range 2 * maxRequestsPerCrash {
			tr.crash(fmt.Sprint("e", i), now, part)
		}
	}
	c.Assert(len(tr.sound) <= maxSoundParts, qt.IsTrue)
	c.Assert(len(tr.crashes) <= maxCrashes, qt.IsTrue)
	c.Assert(len(tr.verdicts) <= maxVerdicts, qt.IsTrue)
	for _, cr := range tr.crashes {
		c.Assert(len(cr.suspects) <= maxRequestsPerCrash, qt.IsTrue)
	}
}

// Long prompts must not fill the memory either, and the last crashes must still count.
func TestMemoryIsBoundedForLongPrompts(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	long := make([]prompt.Part, 400)
	for i := range maxCrashes {
		for request := range maxRequestsPerCrash {
			for j := range long {
				long[j] = prompt.Part(1<<40 + (i*maxRequestsPerCrash+request)*len(long) + j)
			}
			tr.crash(fmt.Sprint("e", i), at(i), long...)
		}
	}
	held := 0
	for _, cr := range tr.crashes {
		held += cr.size()
	}
	c.Check(held <= maxSuspectParts, qt.IsTrue, qt.Commentf("%d parts", held))
	c.Check(tr.Dropped().Crashes > 0, qt.IsTrue)
	tr.crash("x1", at(maxCrashes), deadly)
	tr.crash("x2", at(maxCrashes), deadly)
	c.Check(tr.blocks(at(maxCrashes), deadly), qt.IsTrue)
}

// A verdict must fit in a notice, also if the suspects have hundreds of parts in common: others
// refuse it otherwise, and the deadly one must be among those that remain.
func TestVerdictOnLongPromptsIsShort(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	parts := []prompt.Part{1 << 62}
	for i := range 400 {
		parts = append(parts, prompt.Part(1<<40+i))
	}
	tr.crash("e1", at(0), parts...)
	verdicts := tr.crash("e2", at(100), parts...)
	c.Assert(verdicts, qt.HasLen, 1)
	c.Check(verdicts[0].Parts, qt.HasLen, MaxVerdictParts)
	c.Check(tr.Dropped().VerdictParts, qt.Equals, int64(len(parts)-MaxVerdictParts))
	c.Check(NewTracker(2).Adopt(verdicts[0], at(200)), qt.IsTrue)
	c.Check(tr.blocks(at(200), parts...), qt.IsTrue)
	c.Check(shorten(parts[1:], 1<<40+399), qt.Contains, prompt.Part(1<<40+399))
}

// A suspect that is told of in pieces must count as one request of the crash, in whatever order
// the pieces come.
func TestPiecesOfASuspectArePutTogether(t *testing.T) {
	c := qt.New(t)
	var parts []prompt.Part
	for i := range 100 {
		parts = append(parts, prompt.Part(1<<40+i))
	}
	sent := Suspect{Engine: "e1", New: parts[:40], Known: parts[40:], Whole: 7}
	pieces := sent.Pieces(9, 5)
	c.Assert(pieces, qt.HasLen, 12)
	tr := NewTracker(1)
	for i := range pieces {
		tr.RecordCrash(pieces[len(pieces)-1-i], OtherEntry, at(0))
	}
	c.Assert(tr.crashes[0].suspects, qt.HasLen, 1)
	got := tr.crashes[0].suspects[0]
	c.Check(got.New, qt.DeepEquals, sent.New)
	c.Check(got.Known, qt.DeepEquals, sent.Known)
	c.Check(sent.Pieces(100, 5), qt.DeepEquals, []Suspect{sent})
}

// weakCrash records a crash at this entry under requests that only waited at the engine
// or had a part of their answer.
func (t *Tracker) weakCrash(engine string, now time.Time, requests ...[]prompt.Part) {
	for _, parts := range requests {
		s := t.Suspect(engine, Request{Parts: parts}, now)
		s.Weak = true
		t.RecordCrash(s, ThisEntry, now)
	}
}

// A part whose engines crash after the first event, or before the header, must be found,
// later than one whose engines crash at the beginning of an answer (review/5). Known parts
// of the requests that share these engines must not be blamed.
func TestWeakSuspects(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.RecordSound(Request{Parts: []prompt.Part{rare}}, start, start)
	for i := range 3 {
		c.Check(tr.blocks(at(100*i), common, deadly), qt.IsFalse, qt.Commentf("after %d crashes", i))
		tr.weakCrash(fmt.Sprint("e", i), at(100*i), []prompt.Part{common}, []prompt.Part{common, deadly}, []prompt.Part{rare})
		tr.RecordSound(Request{Parts: []prompt.Part{common}}, at(100*i+10), at(100*i+50))
	}
	c.Assert(tr.blocks(at(300), common, deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(300), common), qt.IsFalse)
	c.Assert(tr.blocks(at(300), rare), qt.IsFalse)
}

// A new sound part that is at two crashing engines by chance must not be quarantined with
// the deadly one.
func TestNewPartBesideWeakSuspects(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.weakCrash("e1", at(0), []prompt.Part{deadly}, []prompt.Part{other})
	tr.weakCrash("e2", at(100), []prompt.Part{deadly}, []prompt.Part{other})
	tr.weakCrash("e3", at(200), []prompt.Part{deadly})
	c.Assert(tr.blocks(at(300), deadly), qt.IsTrue)
	c.Assert(tr.blocks(at(300), other), qt.IsFalse)
}

// Randomised: entries that hear of each other's suspects, in any order and with
// losses, must find a deadly part after few crashes, and take no part away that
// has sound answers all the time.
func TestEntriesAgreeSoak(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := make([]*Tracker, rapid.IntRange(1, 20).Draw(rt, "entries"))
		shared := make([]prompt.Part, rapid.IntRange(1, 30).Draw(rt, "shared"))
		for i := range shared {
			shared[i] = prompt.Part(100 + i)
		}
		for i := range entries {
			entries[i] = NewTracker(uint64(i))
			entries[i].RecordSound(Request{Parts: shared}, start, start)
		}
		lossPercent := rapid.IntRange(0, 30).Draw(rt, "loss percent")
		engine, now, crashes := 0, at(0), 0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(20, 400).Draw(rt, "gap ms")) * time.Millisecond)
			e := rapid.IntRange(0, len(entries)-1).Draw(rt, "entry")
			first := rapid.SampledFrom(shared).Draw(rt, "first part")
			parts := []prompt.Part{first, deadly}
			entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "sound at")].RecordSound(Request{Parts: []prompt.Part{first}}, now.Add(-time.Millisecond), now)
			if entries[e].blocks(now, parts...) {
				// Verdicts reach entries that missed the crashes.
				to := entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "gossip to")]
				for _, v := range entries[e].Active(now) {
					to.Adopt(v, now)
				}
				continue
			}
			crashes++
			engine++
			suspect := entries[e].Suspect(fmt.Sprint(engine), Request{Parts: parts}, now)
			bystander := entries[e].Suspect(fmt.Sprint(engine), Request{Parts: []prompt.Part{rapid.SampledFrom(shared).Draw(rt, "bystander")}}, now)
			verdicts := entries[e].RecordCrash(suspect, ThisEntry, now)
			for i, o := range entries {
				if i == e || rapid.IntRange(0, 99).Draw(rt, "lost") < lossPercent {
					continue
				}
				o.RecordCrash(suspect, OtherEntry, now)
				o.RecordCrash(bystander, OtherEntry, now)
				for _, v := range verdicts {
					o.Adopt(v, now)
				}
			}
			for _, o := range entries {
				for _, p := range shared {
					if o.blocks(now, p) {
						rt.Fatalf("part %v is kept away after %d crashes", p, crashes)
					}
				}
			}
		}
		if lossPercent == 0 && crashes != newPartCrashes {
			rt.Fatalf("%d engines crashed, want %d", crashes, newPartCrashes)
		}
	})
}
