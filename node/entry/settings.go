package entry

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Settings stream and polling.
const (
	// settingsPageSize halves after each failure, so that records which exceed
	// settingsPageBytes together are read one by one.
	settingsPageSize  = 64
	settingsPageBytes = 32 << 20
	// settingsPollWait is long, because 410 entries then make 20 requests/s.
	settingsPollWait = 20 * time.Second
	// settingsPollShare bounds the wait to a share of the retention, because
	// an entry learns from the answers which records have expired.
	settingsPollShare = 16
	// settingsGapWait applies while the state must come from elsewhere.
	settingsGapWait = time.Second
	// settingsReadSlack is how long an answer may take beyond the wait.
	settingsReadSlack = 5 * time.Second
	// settingsStartSlack is short, because a starting entry that has a peer's
	// state should not wait long for a log that does not answer.
	settingsStartSlack = time.Second
	// settingsBehindGrace is how long a poll goes on after a member reported
	// newer settings. The log usually answers first.
	settingsBehindGrace = time.Second
	settingsRetryMin    = 500 * time.Millisecond
	settingsRetryMax    = 4 * time.Second
	snapshotTimeout     = 10 * time.Second
	// snapshotJitterMax and snapshotJitterShare spread the entries' attempts,
	// so that the first snapshot makes the others unnecessary.
	snapshotJitterMax   = 30 * time.Second
	snapshotJitterShare = 16
)

var settingsCounters = expvar.NewMap("settings_total")

// settingsStore holds the settings in force and wakes waiting readers when
// they change.
type settingsStore struct {
	mu      sync.Mutex
	inForce *settings.InForce
	encoded *rpc.SettingsState
	changed chan struct{}
	// newest is the largest offset that a member reported; behind is signalled
	// when it is larger than the one in force.
	newest int64
	behind chan struct{}
}

func newSettingsStore() *settingsStore {
	s := &settingsStore{inForce: settings.NewInForce(), changed: make(chan struct{}), behind: make(chan struct{}, 1)}
	state, digest := s.inForce.Current()
	s.encoded = encodeSettings(state, digest, settings.SnapshotInfo{})
	return s
}

func encodeSettings(state *settings.State, digest string, snapshot settings.SnapshotInfo) *rpc.SettingsState {
	data, _ := state.Encode()
	return &rpc.SettingsState{
		Offset: state.Offset, Digest: digest, State: data,
		SnapshotOffset: snapshot.Offset, SnapshotCovers: snapshot.Covers, SnapshotTimeMs: snapshot.TimeMS,
	}
}

// publish puts a state in force if it is newer and reports whether it was.
func (s *settingsStore) publish(state *settings.State, digest string, snapshot settings.SnapshotInfo) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer, err := s.inForce.Update(state, digest)
	if !newer || err != nil {
		return false, err
	}
	s.encoded = encodeSettings(state, digest, snapshot)
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

// current returns the settings in force, which must not be changed, and a
// channel that is closed at the next change.
func (s *settingsStore) current() (*settings.State, *rpc.SettingsState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.inForce.Current()
	return state, s.encoded, s.changed
}

// heard notes the offset that a member has in force.
func (s *settingsStore) heard(offset int64) {
	s.mu.Lock()
	s.newest = max(s.newest, offset)
	s.mu.Unlock()
	if !s.isBehind() {
		return
	}
	select {
	case s.behind <- struct{}{}:
	default:
	}
}

// isBehind reports whether a member has newer settings in force.
func (s *settingsStore) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.inForce.Current()
	return s.newest > state.Offset
}

// settingsDuty follows the settings log and puts its state in force.
type settingsDuty struct {
	entry  *Entry
	logger hclog.Logger
	fold   *settings.Fold
	policy settings.SnapshotPolicy
	// snapshots are records for the appending goroutine.
	snapshots *ring.Ring[settings.Record]
	// snapshotAt is the time of the next snapshot, zero if none is due.
	snapshotAt time.Time
	// caughtUp is set once the log's end was reached or the log failed. Before
	// that a restarted process could put older settings in force than its
	// previous incarnation had.
	caughtUp bool
	status   settings.Status
	retry    time.Duration
	pageSize int
}

func newSettingsDuty(e *Entry) *settingsDuty {
	return &settingsDuty{
		entry:     e,
		logger:    e.logger.Named("settings"),
		fold:      settings.NewFold(),
		policy:    settings.SnapshotPolicy{Retention: e.cfg.LogRetention, MaxRecords: e.cfg.SnapshotEvery},
		snapshots: ring.New[settings.Record]("settings_snapshots", 1, ring.DropOldest),
		retry:     settingsRetryMin,
		pageSize:  settingsPageSize,
	}
}

// tailSettings follows the settings log for as long as ctx lasts.
func (e *Entry) tailSettings(ctx context.Context) {
	d := newSettingsDuty(e)
	var appender sync.WaitGroup
	appender.Go(func() { d.appendSnapshots(ctx) })
	defer appender.Wait()
	d.askPeersAtStart(ctx)
	for ctx.Err() == nil {
		d.step(ctx)
	}
}

// step reads and folds one page.
func (d *settingsDuty) step(ctx context.Context) {
	page, err := d.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, errBehind) {
		d.askAnyPeer(ctx)
		d.putInForce()
		return
	}
	if err != nil {
		d.logger.Warn("settings log read failed", "error", err)
		settingsCounters.Add("log_failures", 1)
		d.pageSize = max(d.pageSize/2, 1)
		d.caughtUp = true
		d.askAnyPeer(ctx)
		d.putInForce()
		d.backOff(ctx)
		return
	}
	d.pageSize = min(2*d.pageSize, settingsPageSize)
	result := d.fold.ApplyPage(platform.SettingsPage(page))
	d.report(result)
	d.status = result.Status
	switch result.Status {
	case settings.StatusGap, settings.StatusStale:
		settingsCounters.Add(string(result.Status), 1)
		d.caughtUp = true
		d.askAnyPeer(ctx)
		d.putInForce()
		d.backOff(ctx)
		return
	case settings.StatusCurrent:
		d.caughtUp = true
	}
	d.retry = settingsRetryMin
	d.putInForce()
	d.planSnapshot(time.Now())
}

// errBehind means that a poll was ended because a member has newer settings.
var errBehind = eris.New("a member has newer settings")

// read polls the log. It returns errBehind when a member has newer settings
// than the log gives, as happens when only this entry is cut off from the log.
func (d *settingsDuty) read(ctx context.Context) (*wire.LogPage, error) {
	wait, slack := d.wait(time.Now()), settingsReadSlack
	if !d.caughtUp {
		slack = settingsStartSlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go d.endWhenBehind(ctx, end)
	page, err := d.entry.log.Read(ctx, platform.SettingsStream, d.fold.Next(), d.pageSize, wait)
	if err != nil && errors.Is(context.Cause(ctx), errBehind) {
		return nil, errBehind
	}
	return page, err
}

func (d *settingsDuty) endWhenBehind(ctx context.Context, end context.CancelCauseFunc) {
	store := d.entry.settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-store.behind:
		}
		sleep(ctx, settingsBehindGrace)
		if store.isBehind() {
			end(errBehind)
			return
		}
	}
}

func (d *settingsDuty) wait(now time.Time) time.Duration {
	longest := min(settingsPollWait, max(d.policy.Retention/settingsPollShare, settingsGapWait))
	switch {
	case !d.caughtUp:
		return 0
	case d.status == settings.StatusGap || d.status == settings.StatusStale:
		return settingsGapWait
	case !d.snapshotAt.IsZero():
		return max(min(d.snapshotAt.Sub(now), longest), 0)
	}
	return longest
}

func (d *settingsDuty) report(result settings.Result) {
	for _, v := range result.Verdicts {
		if v.Accepted {
			settingsCounters.Add("accepted", 1)
			d.logger.Debug("settings record accepted", "offset", v.Offset, "record", v.RecordID)
			continue
		}
		settingsCounters.Add("refused", 1)
		d.logger.Info("settings record refused", "offset", v.Offset, "record", v.RecordID, "reason", v.Reason, "winner", v.Winner)
	}
	for _, err := range result.Refused {
		settingsCounters.Add("snapshots_refused", 1)
		d.logger.Error("settings from the log were not used", "error", err)
	}
}

func (d *settingsDuty) putInForce() {
	if !d.caughtUp || d.fold.Provisional() {
		return
	}
	state, digest := d.fold.State()
	newer, err := d.entry.settings.publish(state, digest, d.fold.LatestSnapshot())
	if err != nil {
		settingsCounters.Add("contradictions", 1)
		d.logger.Error("settings were not put in force", "offset", state.Offset, "error", err)
	} else if newer {
		d.logger.Info("settings in force", "offset", state.Offset)
	}
}

// backOff waits before the next attempt, with jitter so that entries don't
// reach a recovering log at the same moment.
func (d *settingsDuty) backOff(ctx context.Context) {
	sleep(ctx, d.retry/2+rand.N(d.retry/2))
	d.retry = min(2*d.retry, settingsRetryMax)
}

// planSnapshot appends a snapshot after a random wait if it is still due then.
func (d *settingsDuty) planSnapshot(now time.Time) {
	if !d.fold.SnapshotDue(now, d.policy) {
		d.snapshotAt = time.Time{}
		return
	}
	jitter := min(snapshotJitterMax, d.policy.Retention/snapshotJitterShare)
	if d.snapshotAt.IsZero() {
		d.snapshotAt = now.Add(rand.N(jitter + 1))
		return
	}
	if now.Before(d.snapshotAt) {
		return
	}
	state, _ := d.fold.State()
	d.snapshots.Push(context.Background(), settings.NewSnapshot(state))
	// The snapshot is seen by the tail; without it there is another attempt.
	d.snapshotAt = now.Add(snapshotTimeout + jitter)
}

func (d *settingsDuty) appendSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rec := <-d.snapshots.Items():
			d.appendSnapshot(ctx, rec)
		}
	}
}

func (d *settingsDuty) appendSnapshot(ctx context.Context, rec settings.Record) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	offset, err := d.entry.log.Append(ctx, platform.SettingsStream, rec)
	if err != nil {
		d.logger.Warn("snapshot has no answer; another attempt follows if it is not in the log", "error", err)
		return
	}
	settingsCounters.Add("snapshots_appended", 1)
	d.logger.Info("snapshot appended", "offset", offset, "record", rec.ID)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
