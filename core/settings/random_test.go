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

// defaultSeed makes the randomised tests give the same verdict in every run.
const defaultSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

// TestRandomRuns guards against a sequence of changes, races, repeats,
// damaged snapshots, lagging replicas, expiry, restarts and peers after which
// two processes differ or one reverts.
func TestRandomRuns(t *testing.T) { rapid.Check(t, checkRun) }

// process is one entry of a randomised run.
type process struct {
	fold    *settings.Fold
	inForce *settings.InForce
}

func newProcess() *process {
	return &process{fold: settings.NewFold(), inForce: settings.NewInForce()}
}

// run is a randomised run of some processes on one log. reference folds every
// record when it is appended.
type run struct {
	log       *testLog
	reference *settings.Fold
	digests   map[int64]string
	verdicts  map[string]settings.Verdict
	processes []*process
	ids       int
}

func checkRun(t *rapid.T) {
	r := &run{log: newTestLog(), reference: settings.NewFold(), digests: map[int64]string{}, verdicts: map[string]settings.Verdict{}}
	r.note()
	for range 3 {
		r.processes = append(r.processes, newProcess())
	}
	t.Repeat(map[string]func(*rapid.T){
		"change":  r.change,
		"repeat":  r.repeat,
		"damage":  r.damage,
		"expire":  r.expire,
		"read":    r.read,
		"peer":    r.askPeer,
		"restart": r.restart,
		"":        r.check,
	})
	r.converge(t)
}

func (r *run) note() {
	state, digest := r.reference.State()
	r.digests[state.Offset] = digest
}

// append adds a record to the log and to the reference.
func (r *run) append(data []byte) {
	offset := r.log.append(data)
	record := settings.LogRecord{Offset: offset, TimeMS: offset, Data: data}
	result := r.reference.Page(settings.Page{Oldest: 1, Next: offset + 1, Records: []settings.LogRecord{record}})
	r.note()
	// Snapshots change no settings, so states don't remember their verdicts.
	rec, err := settings.ParseRecord(data)
	if err != nil || rec.Kind == settings.RecordSnapshot {
		return
	}
	for _, v := range result.Verdicts {
		first, repeated := r.verdicts[v.RecordID]
		if repeated && (v.Accepted != first.Accepted || v.RepeatOf != first.Offset) {
			panic(fmt.Sprintf("repeated record has verdict %+v, the first one %+v", v, first))
		}
		if !repeated {
			r.verdicts[v.RecordID] = v
		}
	}
}

// change publishes a document whose base is current, old or never valid.
func (r *run) change(t *rapid.T) {
	state, _ := r.reference.State()
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	var doc any = notices()
	key := "template/notices"
	if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
		key = "parameters/" + name
		params := workspace(name)
		if rapid.Bool().Draw(t, "override") {
			params = workspace(name, override(version))
		}
		doc = params
	}
	base, _ := state.Revision(key)
	base = max(base-rapid.SampledFrom([]int64{0, 0, 0, 1, 5}).Draw(t, "age"), 0)
	r.ids++
	r.append(recordOf(fmt.Sprint(r.ids), base, doc))
}

func (r *run) repeat(t *rapid.T) {
	if len(r.log.data) == 0 {
		t.Skip("no record yet")
	}
	r.append(r.log.data[rapid.IntRange(0, len(r.log.data)-1).Draw(t, "record")])
}

// damage appends a snapshot that fails its digest, or noise.
func (r *run) damage(t *rapid.T) {
	state, _ := r.reference.State()
	data := snapshotOf(state)
	if position := rapid.IntRange(0, len(data)-1).Draw(t, "position"); data[position] != '"' {
		data[position] ^= 1
	}
	r.append(data)
}

func (r *run) expire(t *rapid.T) {
	r.log.oldest = rapid.Int64Range(r.log.oldest, int64(len(r.log.data))+1).Draw(t, "oldest")
}

// read lets a process read one page, perhaps of a lagging replica.
func (r *run) read(t *rapid.T) {
	p := r.draw(t)
	tail := len(r.log.data)
	if rapid.IntRange(0, 3).Draw(t, "lagging") == 0 {
		tail = rapid.IntRange(0, tail).Draw(t, "tail")
	}
	r.step(p, rapid.IntRange(1, 8).Draw(t, "limit"), tail)
}

// step reads a page, puts the state in force and appends a due snapshot.
func (r *run) step(p *process, limit, tail int) settings.Status {
	status := p.fold.Page(r.log.page(p.fold.Next(), limit, tail)).Status
	if !p.fold.Unsettled() {
		state, digest := p.fold.State()
		if _, err := p.inForce.Put(state, digest); err != nil {
			panic(err)
		}
	}
	now := time.UnixMilli(int64(len(r.log.data)))
	if p.fold.SnapshotDue(now, settings.SnapshotPolicy{Retention: 80 * time.Millisecond, Every: 15}) {
		state, _ := p.fold.State()
		if state.Offset == int64(len(r.log.data)) {
			r.append(snapshotOf(state))
		}
	}
	return status
}

func (r *run) askPeer(t *rapid.T) {
	r.adopt(t, r.draw(t), r.draw(t))
}

func (r *run) adopt(t *rapid.T, p, peer *process) {
	state, digest := peer.inForce.Current()
	data, _ := state.Encode()
	if err := p.fold.Adopt(data, digest, peer.fold.Snapshot()); err != nil {
		t.Fatalf("peer's state at %d was refused: %v", state.Offset, err)
	}
}

func (r *run) restart(t *rapid.T) {
	*r.draw(t) = *newProcess()
}

func (r *run) draw(t *rapid.T) *process {
	return r.processes[rapid.IntRange(0, len(r.processes)-1).Draw(t, "process")]
}

// check compares all processes with the reference at their offsets.
func (r *run) check(t *rapid.T) {
	for i, p := range r.processes {
		state, digest := p.inForce.Current()
		if want := r.digests[state.Offset]; digest != want {
			t.Fatalf("process %d has another state in force at offset %d than a reader of the whole log", i, state.Offset)
		}
	}
}

// converge lets all processes read to the end and ask each other. A state
// that any of them has at the end must reach all of them, and a new process
// must be able to start from the log alone.
func (r *run) converge(t *rapid.T) {
	for range 4 {
		for _, p := range r.processes {
			for r.step(p, 8, len(r.log.data)) == settings.StatusBehind {
			}
			for _, peer := range r.processes {
				r.adopt(t, p, peer)
			}
		}
	}
	r.check(t)
	first, _ := r.processes[0].inForce.Current()
	if first.Offset+1 < r.log.oldest {
		return
	}
	late := newProcess()
	for r.step(late, 8, len(r.log.data)) == settings.StatusBehind {
	}
	got, _ := late.inForce.Current()
	if first.Offset < int64(len(r.log.data)) || got.Offset < first.Offset {
		t.Fatalf("processes hold offset %d but a new one gets %d of %d from the log, oldest %d",
			first.Offset, got.Offset, len(r.log.data), r.log.oldest)
	}
}
