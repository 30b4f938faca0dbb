package settings_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/logera"
	"github.com/laburnumloft/laburnumloft/core/settings"
)

// TestSchemaIsStrict guards against documents that are accepted although some
// of their fields are unknown or invalid. The problem must name the line and
// the field.
func TestSchemaIsStrict(t *testing.T) {
	const engine = "kind: template\nname: notices\nservices:\n- name: juru-tulis\n  kind: engine\n  model: notices\n  version: 1.10\n"
	withManifest := engine + "  manifest: " + manifest + "\n"
	for name, tc := range map[string]struct{ text, want string }{
		"unknown field":            {withManifest + "  replicas: 3\n", "line 9: services[0].replicas: unknown field"},
		"field twice":              {withManifest + "  kind: plain\n", "line 9: services[0].kind: field is given twice"},
		"missing manifest":         {engine, `line 4: services[0].manifest: value "" is not 64 hexadecimal digits in lower case`},
		"wrong kind":               {strings.Replace(withManifest, "engine", "gpu", 1), `line 5: services[0].kind: value "gpu" is not one of engine, plain`},
		"not a list":               {"kind: template\nname: a\nservices: 4\n", "line 3: services: value is not a list"},
		"bad time zone":            {withManifest + "  rollout: {at: '18:00', time_zone: Europe/Tromba}\n", `line 9: services\[0\].rollout.time_zone: value "Europe/Tromba" is not an IANA time zone.*`},
		"bad time of day":          {withManifest + "  rollout: {at: '24:00', time_zone: Asia/Jakarta}\n", `.*rollout.at: value "24:00" is not a time of day.*`},
		"share out":                {"kind: parameters\nworkspace: a\ntemplate: b\nshare: 1001\n", "line 4: share: value 1001 is not between 0 and 1000"},
		"octal number":             {"kind: parameters\nworkspace: a\ntemplate: b\nshare: 0x10\n", "line 4: share: value is not a whole number in decimal digits"},
		"wrong file kind":          {"kind: snapshot\n", `line 1: kind: value "snapshot" is not one of template, parameters`},
		"no YAML":                  {"kind: [\n", "line 1: .*"},
		"JSON with tabs ok":        {"{\n\t\"kind\": \"parameters\", \"workspace\": \"a\", \"template\": \"b\"}", ""},
		"version 1.10 is a string": {withManifest, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			docs, err := settings.ParseFile([]byte(tc.text))
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(docs, qt.HasLen, 1)
				return
			}
			c.Assert(err, qt.ErrorMatches, strings.NewReplacer(`services[`, `services\[`, `0].`, `0\].`).Replace(tc.want))
		})
	}
}

// TestRecordsAreCrossChecked guards against accepting a record that refers to a
// template or service that does not exist, that gives a service a second
// template, or that makes a service run two versions.
func TestRecordsAreCrossChecked(t *testing.T) {
	conflicting := noticesTemplate()
	conflicting.Name = "copy"
	withoutEngine := noticesTemplate()
	withoutEngine.Services = withoutEngine.Services[1:]
	unknownService := workspaceParameters("c")
	unknownService.Services = []string{"loket"}
	log := newTestLog(
		encodeRecord("1", 0, workspaceParameters("a")),
		encodeRecord("2", 0, noticesTemplate()),
		encodeRecord("3", 0, conflicting),
		encodeRecord("4", 0, workspaceParameters("a", versionOverride("v2"))),
		encodeRecord("5", 0, workspaceParameters("b", versionOverride("v3"))),
		encodeRecord("6", 0, workspaceParameters("b", versionOverride("v2"))),
		encodeRecord("7", 2, withoutEngine),
		encodeRecord("8", 0, unknownService),
		[]byte(`{"id":"9","kind":"template","key":"template/x","base":0,"body":{"name":"y","services":[{"name":"s","kind":"plain"}]}}`),
		[]byte(`{"id":"10","kind":"template","key":"template/x","base":0,"body":{},"extra":1}`),
	)
	c := qt.New(t)
	fold := settings.NewFold()
	verdicts := log.applyAll(fold).Verdicts
	for i, want := range []string{
		`.*template "notices" does not exist`, "",
		`.*service "juru-tulis" belongs to template "notices".*`, "",
		`.*service "juru-tulis" would run two versions: workspace "a" sets notices v2`, "",
		`.*parameters of workspace "a" would not fit.*`,
		`.*template "notices" has no service "loket"`,
		`key "template/x" does not agree with the document, which is "template/y"`,
		`malformed record: json: unknown field "extra"`,
	} {
		c.Check(verdicts[i].Reason, qt.Matches, want, qt.Commentf("record %d", i+1))
		c.Check(verdicts[i].Accepted, qt.Equals, want == "")
	}
	state, _ := fold.State()
	svc, offset, _ := state.Service("juru-tulis")
	c.Assert(svc.Version, qt.Equals, "v2")
	c.Assert(offset, qt.Equals, int64(4))
}

// TestFenceNeverDecreases guards against a fencing number that decreases when
// a version override is removed. The engine would refuse the order to load the
// template's version again.
func TestFenceNeverDecreases(t *testing.T) {
	log := newTestLog(encodeRecord("1", 0, noticesTemplate()), encodeRecord("2", 0, workspaceParameters("a", versionOverride("v2"))), encodeRecord("3", 2, workspaceParameters("a")))
	fold := settings.NewFold()
	log.applyAll(fold)
	state, _ := fold.State()
	svc, offset, _ := state.Service("juru-tulis")
	c := qt.New(t)
	c.Assert(svc.Version, qt.Equals, "v1")
	c.Assert(offset, qt.Equals, int64(3))
}

// TestFirstOfRacingRecordsWins guards against a lost update when two operators
// replace the same revision concurrently.
func TestFirstOfRacingRecordsWins(t *testing.T) {
	log := newTestLog(encodeRecord("1", 0, noticesTemplate()), encodeRecord("ana", 1, noticesTemplate()), encodeRecord("budi", 1, noticesTemplate()))
	verdicts := log.applyAll(settings.NewFold()).Verdicts
	c := qt.New(t)
	c.Assert(verdicts[1].Accepted, qt.IsTrue)
	c.Assert(verdicts[2].Accepted, qt.IsFalse)
	c.Assert(verdicts[2].Winner, qt.Equals, "ana")
}

// TestRepeatedAppendGetsTheFirstVerdict guards against a record that is refused
// at first and accepted when a retry appends it again after other records.
func TestRepeatedAppendGetsTheFirstVerdict(t *testing.T) {
	log := newTestLog(encodeRecord("early", 0, workspaceParameters("a")), encodeRecord("2", 0, noticesTemplate()), encodeRecord("early", 0, workspaceParameters("a")), encodeRecord("2", 0, noticesTemplate()))
	fold := settings.NewFold()
	verdicts := log.applyAll(fold).Verdicts
	c := qt.New(t)
	c.Assert(verdicts[2].Accepted, qt.IsFalse)
	c.Assert(verdicts[2].RepeatOf, qt.Equals, int64(1))
	c.Assert(verdicts[3].Accepted, qt.IsTrue)
	state, _ := fold.State()
	c.Assert(state.Parameters, qt.HasLen, 0)
}

// snapshotLog returns a log with a snapshot of the first two records at offset
// 4 and a change after it, and a fold that has applied all records.
func snapshotLog() (*testLog, *settings.Fold) {
	log := newTestLog(encodeRecord("1", 0, noticesTemplate()), encodeRecord("2", 0, workspaceParameters("a")))
	full := settings.NewFold()
	log.applyAll(full)
	state, _ := full.State()
	log.append(encodeRecord("3", 0, workspaceParameters("b")))
	log.append(encodeSnapshot(state))
	log.append(encodeRecord("5", 2, workspaceParameters("a", versionOverride("v2"))))
	log.applyAll(full)
	return log, full
}

// TestStartFromSnapshot guards against a process that starts from a snapshot,
// because the first records have expired, and omits the record between the
// state of the snapshot and the snapshot itself.
func TestStartFromSnapshot(t *testing.T) {
	log, full := snapshotLog()
	log.oldest = 3
	starting := settings.NewFold()
	c := qt.New(t)
	c.Assert(log.applyAll(starting).Status, qt.Equals, settings.StatusCurrent)
	_, want := full.State()
	_, got := starting.State()
	c.Assert(got, qt.Equals, want)
}

// TestGapWithoutSnapshotNeedsPeerState guards against a process that applies
// records although earlier records have expired and no snapshot covers them. The
// process can continue only with the state of a peer.
func TestGapWithoutSnapshotNeedsPeerState(t *testing.T) {
	log, full := snapshotLog()
	log.oldest = 4
	starting := settings.NewFold()
	c := qt.New(t)
	c.Assert(log.applyAll(starting).Status, qt.Equals, settings.StatusGap)
	state, _ := starting.State()
	c.Assert(state.Offset, qt.Equals, int64(0))

	peer, digest := full.State()
	data, _ := peer.Encode()
	c.Assert(starting.Adopt(data, strings.Repeat("0", 64), full.LatestSnapshot()), qt.ErrorIs, settings.ErrCorrupt)
	c.Assert(starting.Adopt(data, digest, full.LatestSnapshot()), qt.IsNil)
	c.Assert(log.applyAll(starting).Status, qt.Equals, settings.StatusCurrent)
}

// TestBadSnapshotsAreRefused guards against corrupt or contradicting snapshots
// that replace or change the state, and against refusing a snapshot that two
// processes have appended.
func TestBadSnapshotsAreRefused(t *testing.T) {
	log, full := snapshotLog()
	want, _ := full.State()
	damaged := strings.Replace(string(encodeSnapshot(want)), `"v2"`, `"v9"`, 1)
	forged := *settings.NewState()
	forged.Offset = 4
	log.append([]byte(damaged))
	log.append(encodeSnapshot(&forged))
	log.append(encodeSnapshot(want))
	log.append(encodeSnapshot(want))
	result := log.applyAll(full)
	c := qt.New(t)
	c.Assert(result.Refused, qt.HasLen, 2)
	c.Assert(result.Refused[0], qt.ErrorIs, settings.ErrCorrupt)
	c.Assert(result.Refused[1], qt.ErrorIs, settings.ErrContradiction)
	state, _ := full.State()
	c.Assert(state.Templates, qt.DeepEquals, want.Templates)
	c.Assert(state.Offset, qt.Equals, int64(9))

	// A process that starts now can't decide which of two contradicting
	// snapshots is right, so it must use neither.
	log.oldest = 5
	starting := settings.NewFold()
	c.Assert(log.applyAll(starting).Status, qt.Equals, settings.StatusGap)
	c.Assert(starting.Provisional(), qt.IsTrue)
}

// TestLaggingReplicaChangesNothing guards against a fold that returns to an
// older state when a lagging replica of the log answers.
func TestLaggingReplicaChangesNothing(t *testing.T) {
	log, full := snapshotLog()
	want, _ := full.State()
	c := qt.New(t)
	for tail := range len(log.data) {
		c.Assert(full.ApplyPage(log.page(1, 10, tail)).Status, qt.Equals, settings.StatusStale)
	}
	got, _ := full.State()
	c.Assert(got, qt.Equals, want)
}

// TestSnapshotIsDue guards against a snapshot that becomes due only after the
// records that a starting process needs have expired, and against unnecessary
// snapshots.
func TestSnapshotIsDue(t *testing.T) {
	policy := settings.SnapshotPolicy{Retention: 400 * time.Millisecond, MaxRecords: 100}
	log, full := snapshotLog()
	c := qt.New(t)
	c.Assert(full.SnapshotDue(time.UnixMilli(4+99), policy), qt.IsFalse)
	c.Assert(full.SnapshotDue(time.UnixMilli(4+100), policy), qt.IsTrue)
	c.Assert(full.SnapshotDue(time.UnixMilli(5), settings.SnapshotPolicy{Retention: time.Hour, MaxRecords: 1}), qt.IsTrue)
	log.oldest = 5
	log.applyAll(full)
	c.Assert(full.SnapshotDue(time.UnixMilli(5), policy), qt.IsTrue)
	c.Assert(settings.NewFold().SnapshotDue(time.UnixMilli(1e6), policy), qt.IsFalse)
}

// TestInForceNeverReverts guards against replacing the state in force by an
// older one or by a different one of the same offset.
func TestInForceNeverReverts(t *testing.T) {
	_, full := snapshotLog()
	state, digest := full.State()
	inForce := settings.NewInForce()
	c := qt.New(t)
	newer, err := inForce.Update(state, digest)
	c.Assert(newer, qt.IsTrue)
	c.Assert(err, qt.IsNil)
	newer, err = inForce.Update(settings.NewState(), "")
	c.Assert(newer, qt.IsFalse)
	c.Assert(err, qt.IsNil)
	_, err = inForce.Update(state, "other")
	c.Assert(err, qt.ErrorIs, settings.ErrContradiction)
	got, _ := inForce.Current()
	c.Assert(got, qt.Equals, state)
}

// A log that came back from a copy, whose positions continue in another era, must not
// change a state, nor give one to a fold that starts on the copy, until a snapshot at its
// end declares one.
func TestFoldKeepsItsStateInANewEra(t *testing.T) {
	c := qt.New(t)
	first := logera.Position(1, 1)
	fold := settings.NewFold()
	c.Assert(fold.ApplyPage(settings.Page{Records: []settings.LogRecord{{Offset: 1, Data: []byte("x")}}, Oldest: 1, Next: 2}).Status, qt.Equals, settings.StatusCurrent)
	known, _ := fold.State()
	copied := settings.Page{Records: []settings.LogRecord{{Offset: first, Data: []byte("x")}, {Offset: first + 1, Data: []byte("y")}}, Oldest: first, Next: first + 2}
	for _, f := range []*settings.Fold{fold, settings.NewFold()} {
		before, _ := f.State()
		c.Assert(f.ApplyPage(settings.Page{Oldest: first, Next: first + 2}).Status, qt.Equals, settings.StatusBehind)
		c.Assert(f.Next(), qt.Equals, first)
		c.Assert(f.ApplyPage(copied).Status, qt.Equals, settings.StatusGap)
		after, _ := f.State()
		c.Assert(after, qt.Equals, before)
		snapshot, err := json.Marshal(settings.NewSnapshot(known.AtOffset(first + 1)))
		c.Assert(err, qt.IsNil)
		page := settings.Page{Records: []settings.LogRecord{{Offset: first + 2, Data: snapshot}}, Oldest: first, Next: first + 3}
		f.ApplyPage(page)
		state, _ := f.State()
		c.Assert(state.Offset >= first+1, qt.IsTrue)
	}
}
