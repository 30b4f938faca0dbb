package settings_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

// defaultSeed makes the randomised tests repeatable when no seed is given.
const defaultSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

// TestRandomRuns guards against different states in two processes and against
// a process that returns to an older state. It runs random sequences of
// changes, concurrent changes, repeated appends, corrupt snapshots, reads from
// lagging replicas, expiry of records, restarts and exchanges between peers.
func TestRandomRuns(t *testing.T) { rapid.Check(t, runRandomActions) }

// process is the settings part of one simulated process.
type process struct {
	fold    *settings.Fold
	inForce *settings.InForce
}

func newProcess() *process {
	return &process{fold: settings.NewFold(), inForce: settings.NewInForce()}
}

// run is a randomised run of several processes that read one log. reference
// applies each record when it is appended. digests holds its digest at each
// offset, verdicts its first verdict on each record id.
type run struct {
	log       *testLog
	reference *settings.Fold
	digests   map[int64]string
	verdicts  map[string]settings.Verdict
	processes []*process
	lastID    int
}

func runRandomActions(t *rapid.T) {
	r := &run{log: newTestLog(), reference: settings.NewFold(), digests: map[int64]string{}, verdicts: map[string]settings.Verdict{}}
	r.recordDigest()
	for range 3 {
		r.processes = append(r.processes, newProcess())
	}
	t.Repeat(map[string]func(*rapid.T){
		"change":  r.appendChange,
		"repeat":  r.repeatAppend,
		"damage":  r.appendDamagedSnapshot,
		"expire":  r.expireRecords,
		"read":    r.readPage,
		"peer":    r.adoptFromPeer,
		"restart": r.restartProcess,
		"":        r.checkProcesses,
	})
	r.converge(t)
}

func (r *run) recordDigest() {
	state, digest := r.reference.State()
	r.digests[state.Offset] = digest
}

// append appends a record to the log and applies it to the reference.
func (r *run) append(data []byte) {
	offset := r.log.append(data)
	record := settings.LogRecord{Offset: offset, TimeMS: offset, Data: data}
	result := r.reference.ApplyPage(settings.Page{Oldest: 1, Next: offset + 1, Records: []settings.LogRecord{record}})
	r.recordDigest()
	// States keep no verdicts on snapshots and malformed records.
	rec, err := settings.ParseRecord(data)
	if err != nil || rec.Kind == settings.RecordSnapshot {
		return
	}
	for _, v := range result.Verdicts {
		first, repeated := r.verdicts[v.RecordID]
		if repeated && (v.Accepted != first.Accepted || v.RepeatOf != first.Offset) {
			panic(fmt.Sprintf("repeated record got verdict %+v; the first one got %+v", v, first))
		}
		if !repeated {
			r.verdicts[v.RecordID] = v
		}
	}
}

// appendChange appends a document whose base is the current revision or an
// offset before it, which may belong to another key or to no accepted record.
func (r *run) appendChange(t *rapid.T) {
	state, _ := r.reference.State()
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	var doc any = noticesTemplate()
	key := "template/notices"
	if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
		key = "parameters/" + name
		params := workspaceParameters(name)
		if rapid.Bool().Draw(t, "override") {
			params = workspaceParameters(name, versionOverride(version))
		}
		doc = params
	}
	base, _ := state.Revision(key)
	base = max(base-rapid.SampledFrom([]int64{0, 0, 0, 1, 5}).Draw(t, "age"), 0)
	r.lastID++
	r.append(encodeRecord(fmt.Sprint(r.lastID), base, doc))
}

// repeatAppend appends an earlier record again.
func (r *run) repeatAppend(t *rapid.T) {
	if len(r.log.data) == 0 {
		t.Skip("no record yet")
	}
	r.append(r.log.data[rapid.IntRange(0, len(r.log.data)-1).Draw(t, "record")])
}

// appendDamagedSnapshot appends a snapshot with one flipped bit, which is
// corrupt or malformed. If the drawn byte is a quotation mark, the snapshot
// stays valid.
func (r *run) appendDamagedSnapshot(t *rapid.T) {
	state, _ := r.reference.State()
	data := encodeSnapshot(state)
	if position := rapid.IntRange(0, len(data)-1).Draw(t, "position"); data[position] != '"' {
		data[position] ^= 1
	}
	r.append(data)
}

func (r *run) expireRecords(t *rapid.T) {
	r.log.oldest = rapid.Int64Range(r.log.oldest, int64(len(r.log.data))+1).Draw(t, "oldest")
}

// readPage lets a process read one page, sometimes from a lagging replica.
func (r *run) readPage(t *rapid.T) {
	p := r.drawProcess(t)
	tail := len(r.log.data)
	if rapid.IntRange(0, 3).Draw(t, "lagging") == 0 {
		tail = rapid.IntRange(0, tail).Draw(t, "tail")
	}
	r.step(p, rapid.IntRange(1, 8).Draw(t, "limit"), tail)
}

// step applies one page, puts the state in force and appends a snapshot if one
// is due.
func (r *run) step(p *process, limit, tail int) settings.Status {
	status := p.fold.ApplyPage(r.log.page(p.fold.Next(), limit, tail)).Status
	if !p.fold.Provisional() {
		state, digest := p.fold.State()
		if _, err := p.inForce.Update(state, digest); err != nil {
			panic(err)
		}
	}
	now := time.UnixMilli(int64(len(r.log.data)))
	if p.fold.SnapshotDue(now, settings.SnapshotPolicy{Retention: 80 * time.Millisecond, MaxRecords: 15}) {
		state, _ := p.fold.State()
		if state.Offset == int64(len(r.log.data)) {
			r.append(encodeSnapshot(state))
		}
	}
	return status
}

// adoptFromPeer lets a process adopt the state that another process has in
// force.
func (r *run) adoptFromPeer(t *rapid.T) {
	r.adoptState(t, r.drawProcess(t), r.drawProcess(t))
}

func (r *run) adoptState(t *rapid.T, p, peer *process) {
	state, digest := peer.inForce.Current()
	data, _ := state.Encode()
	if err := p.fold.Adopt(data, digest, peer.fold.LatestSnapshot()); err != nil {
		t.Fatalf("state of a peer at offset %d was refused: %v", state.Offset, err)
	}
}

func (r *run) restartProcess(t *rapid.T) {
	*r.drawProcess(t) = *newProcess()
}

func (r *run) drawProcess(t *rapid.T) *process {
	return r.processes[rapid.IntRange(0, len(r.processes)-1).Draw(t, "process")]
}

// checkProcesses compares the state in force of each process with that of the
// reference at the same offset.
func (r *run) checkProcesses(t *rapid.T) {
	for i, p := range r.processes {
		state, digest := p.inForce.Current()
		if want := r.digests[state.Offset]; digest != want {
			t.Fatalf("process %d: state in force at offset %d differs from the state of the reference", i, state.Offset)
		}
	}
}

// converge lets all processes read the log to its end and exchange states. If
// the log keeps all records after the state of any process, all processes must
// reach the end of the log, and a new process must reach it from the log alone.
func (r *run) converge(t *rapid.T) {
	for range 4 {
		for _, p := range r.processes {
			for r.step(p, 8, len(r.log.data)) == settings.StatusBehind {
			}
			for _, peer := range r.processes {
				r.adoptState(t, p, peer)
			}
		}
	}
	r.checkProcesses(t)
	first, _ := r.processes[0].inForce.Current()
	if first.Offset+1 < r.log.oldest {
		return
	}
	starting := newProcess()
	for r.step(starting, 8, len(r.log.data)) == settings.StatusBehind {
	}
	got, _ := starting.inForce.Current()
	if first.Offset < int64(len(r.log.data)) || got.Offset < first.Offset {
		t.Fatalf("processes reach offset %d, a new one reaches %d; the log ends at %d, its oldest record is %d",
			first.Offset, got.Offset, len(r.log.data), r.log.oldest)
	}
}
