package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

// TestSchemaIsStrict guards against documents that would be half understood:
// each must be refused with the line and the field at fault.
func TestSchemaIsStrict(t *testing.T) {
	const engine = "kind: template\nname: notices\nservices:\n- name: juru-tulis\n  kind: engine\n  model: notices\n  version: 1.10\n"
	withManifest := engine + "  manifest: " + manifest + "\n"
	for name, tc := range map[string]struct{ text, want string }{
		"unknown field":     {withManifest + "  replicas: 3\n", "line 9: services[0].replicas: unknown field"},
		"field twice":       {withManifest + "  kind: plain\n", "line 9: services[0].kind: field is given twice"},
		"missing manifest":  {engine, `line 4: services[0].manifest: value "" is not 64 hexadecimal digits in lower case`},
		"wrong kind":        {strings.Replace(withManifest, "engine", "gpu", 1), `line 5: services[0].kind: value "gpu" is not one of engine, plain`},
		"not a list":        {"kind: template\nname: a\nservices: 4\n", "line 3: services: value is not a list"},
		"bad time zone":     {withManifest + "  rollout: {at: '18:00', time_zone: Europe/Tromba}\n", `line 9: services\[0\].rollout.time_zone: value "Europe/Tromba" is not an IANA time zone.*`},
		"bad time of day":   {withManifest + "  rollout: {at: '24:00', time_zone: Asia/Jakarta}\n", `.*rollout.at: value "24:00" is not a time of day.*`},
		"share out":         {"kind: parameters\nworkspace: a\ntemplate: b\nshare: 1001\n", "line 4: share: value 1001 is not between 0 and 1000"},
		"octal number":      {"kind: parameters\nworkspace: a\ntemplate: b\nshare: 0x10\n", "line 4: share: value is not a whole number in decimal digits"},
		"wrong file kind":   {"kind: snapshot\n", `line 1: kind: value "snapshot" is not one of template, parameters`},
		"no YAML":           {"kind: [\n", "line 1: .*"},
		"JSON with tabs ok": {"{\n\t\"kind\": \"parameters\", \"workspace\": \"a\", \"template\": \"b\"}", ""},
		"version stays ok":  {withManifest, ""},
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

// TestRecordsAreCrossChecked guards against settings in force that name what
// does not exist or that make one service run two versions.
func TestRecordsAreCrossChecked(t *testing.T) {
	other := notices()
	other.Name = "copy"
	fewer := notices()
	fewer.Services = fewer.Services[1:]
	foreign := workspace("c")
	foreign.Services = []string{"loket"}
	log := newTestLog(
		recordOf("1", 0, workspace("a")),
		recordOf("2", 0, notices()),
		recordOf("3", 0, other),
		recordOf("4", 0, workspace("a", override("v2"))),
		recordOf("5", 0, workspace("b", override("v3"))),
		recordOf("6", 0, workspace("b", override("v2"))),
		recordOf("7", 2, fewer),
		recordOf("8", 0, foreign),
		[]byte(`{"id":"9","kind":"template","key":"template/x","base":0,"body":{"name":"y","services":[{"name":"s","kind":"plain"}]}}`),
		[]byte(`{"id":"10","kind":"template","key":"template/x","base":0,"body":{},"extra":1}`),
	)
	c := qt.New(t)
	fold := settings.NewFold()
	verdicts := log.follow(fold).Verdicts
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

// TestFenceNeverDecreases guards against an engine that refuses the order to
// go back from an override, because its fencing number is an older offset.
func TestFenceNeverDecreases(t *testing.T) {
	log := newTestLog(recordOf("1", 0, notices()), recordOf("2", 0, workspace("a", override("v2"))), recordOf("3", 2, workspace("a")))
	fold := settings.NewFold()
	log.follow(fold)
	state, _ := fold.State()
	svc, offset, _ := state.Service("juru-tulis")
	c := qt.New(t)
	c.Assert(svc.Version, qt.Equals, "v1")
	c.Assert(offset, qt.Equals, int64(3))
}

// TestFirstOfRacingRecordsWins guards against a lost update when two
// operators replace the same revision.
func TestFirstOfRacingRecordsWins(t *testing.T) {
	log := newTestLog(recordOf("1", 0, notices()), recordOf("ana", 1, notices()), recordOf("budi", 1, notices()))
	verdicts := log.follow(settings.NewFold()).Verdicts
	c := qt.New(t)
	c.Assert(verdicts[1].Accepted, qt.IsTrue)
	c.Assert(verdicts[2].Accepted, qt.IsFalse)
	c.Assert(verdicts[2].Winner, qt.Equals, "ana")
}

// TestRepeatedAppendGetsTheFirstVerdict guards against a record that is
// refused first and takes effect when its append is repeated later.
func TestRepeatedAppendGetsTheFirstVerdict(t *testing.T) {
	log := newTestLog(recordOf("early", 0, workspace("a")), recordOf("2", 0, notices()), recordOf("early", 0, workspace("a")), recordOf("2", 0, notices()))
	fold := settings.NewFold()
	verdicts := log.follow(fold).Verdicts
	c := qt.New(t)
	c.Assert(verdicts[2].Accepted, qt.IsFalse)
	c.Assert(verdicts[2].RepeatOf, qt.Equals, int64(1))
	c.Assert(verdicts[3].Accepted, qt.IsTrue)
	state, _ := fold.State()
	c.Assert(state.Parameters, qt.HasLen, 0)
}

// snapshotLog returns a log that holds a snapshot of the first two records
// and a later change, and the state after all records.
func snapshotLog() (*testLog, *settings.Fold) {
	log := newTestLog(recordOf("1", 0, notices()), recordOf("2", 0, workspace("a")))
	full := settings.NewFold()
	log.follow(full)
	state, _ := full.State()
	log.append(recordOf("3", 0, workspace("b")))
	log.append(snapshotOf(state))
	log.append(recordOf("5", 2, workspace("a", override("v2"))))
	log.follow(full)
	return log, full
}

// TestStartFromSnapshot guards against a start that loses or repeats records
// around the snapshot after the first ones have expired.
func TestStartFromSnapshot(t *testing.T) {
	log, full := snapshotLog()
	log.oldest = 3
	late := settings.NewFold()
	c := qt.New(t)
	c.Assert(log.follow(late).Status, qt.Equals, settings.StatusCurrent)
	_, want := full.State()
	_, got := late.State()
	c.Assert(got, qt.Equals, want)
}

// TestGapIsNotGuessed guards against a process that puts a state in force
// although records that it needs have expired.
func TestGapIsNotGuessed(t *testing.T) {
	log, full := snapshotLog()
	log.oldest = 4
	late := settings.NewFold()
	c := qt.New(t)
	c.Assert(log.follow(late).Status, qt.Equals, settings.StatusGap)
	state, _ := late.State()
	c.Assert(state.Offset, qt.Equals, int64(0))

	peer, digest := full.State()
	data, _ := peer.Encode()
	c.Assert(late.Adopt(data, strings.Repeat("0", 64), full.Snapshot()), qt.ErrorIs, settings.ErrDamaged)
	c.Assert(late.Adopt(data, digest, full.Snapshot()), qt.IsNil)
	c.Assert(log.follow(late).Status, qt.Equals, settings.StatusCurrent)
}

// TestBadSnapshotsAreRefused guards against a damaged or contradicting
// snapshot that replaces the state, and against a duplicate doing harm.
func TestBadSnapshotsAreRefused(t *testing.T) {
	log, full := snapshotLog()
	want, _ := full.State()
	damaged := strings.Replace(string(snapshotOf(want)), `"v2"`, `"v9"`, 1)
	forged := *settings.NewState()
	forged.Offset = 4
	log.append([]byte(damaged))
	log.append(snapshotOf(&forged))
	log.append(snapshotOf(want))
	log.append(snapshotOf(want))
	result := log.follow(full)
	c := qt.New(t)
	c.Assert(result.Refused, qt.HasLen, 2)
	c.Assert(result.Refused[0], qt.ErrorIs, settings.ErrDamaged)
	c.Assert(result.Refused[1], qt.ErrorIs, settings.ErrContradiction)
	state, _ := full.State()
	c.Assert(state.Templates, qt.DeepEquals, want.Templates)
	c.Assert(state.Offset, qt.Equals, int64(9))

	// A starting process can't tell which of two contradicting snapshots is
	// right, so it uses neither.
	log.oldest = 5
	late := settings.NewFold()
	c.Assert(log.follow(late).Status, qt.Equals, settings.StatusGap)
	c.Assert(late.Unsettled(), qt.IsTrue)
}

// TestOldTailChangesNothing guards against a fold that goes back when a
// lagging log replica answers.
func TestOldTailChangesNothing(t *testing.T) {
	log, full := snapshotLog()
	want, _ := full.State()
	c := qt.New(t)
	for tail := range len(log.data) {
		c.Assert(full.Page(log.page(1, 10, tail)).Status, qt.Equals, settings.StatusStale)
	}
	got, _ := full.State()
	c.Assert(got, qt.Equals, want)
}

// TestSnapshotIsDue guards against a log whose retention ends before the
// next snapshot is there, and against snapshots without need.
func TestSnapshotIsDue(t *testing.T) {
	policy := settings.SnapshotPolicy{Retention: 400 * time.Millisecond, Every: 100}
	log, full := snapshotLog()
	c := qt.New(t)
	c.Assert(full.SnapshotDue(time.UnixMilli(4+99), policy), qt.IsFalse)
	c.Assert(full.SnapshotDue(time.UnixMilli(4+100), policy), qt.IsTrue)
	c.Assert(full.SnapshotDue(time.UnixMilli(5), settings.SnapshotPolicy{Retention: time.Hour, Every: 1}), qt.IsTrue)
	log.oldest = 5
	log.follow(full)
	c.Assert(full.SnapshotDue(time.UnixMilli(5), policy), qt.IsTrue)
	c.Assert(settings.NewFold().SnapshotDue(time.UnixMilli(1e6), policy), qt.IsFalse)
}

// TestInForceNeverReverts guards against an older state or another state of
// the same offset replacing the one in force.
func TestInForceNeverReverts(t *testing.T) {
	_, full := snapshotLog()
	state, digest := full.State()
	inForce := settings.NewInForce()
	c := qt.New(t)
	newer, err := inForce.Put(state, digest)
	c.Assert(newer, qt.IsTrue)
	c.Assert(err, qt.IsNil)
	newer, err = inForce.Put(settings.NewState(), "")
	c.Assert(newer, qt.IsFalse)
	c.Assert(err, qt.IsNil)
	_, err = inForce.Put(state, "other")
	c.Assert(err, qt.ErrorIs, settings.ErrContradiction)
	got, _ := inForce.Current()
	c.Assert(got, qt.Equals, state)
}
