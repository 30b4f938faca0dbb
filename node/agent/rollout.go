package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Limits and times of a rollout.
const (
	maxManifestBytes  = 8 << 20
	rolloutRetry      = time.Second
	engineStatusEvery = 200 * time.Millisecond
)

// rolloutDuty brings the backend server to the intended version.
type rolloutDuty struct {
	agent *Agent
	mu    sync.Mutex
	// data is the whole verified version that the engine may read.
	data          []byte
	model, loaded string
}

func newRolloutDuty(a *Agent) *rolloutDuty {
	return &rolloutDuty{agent: a}
}

func (d *rolloutDuty) run(ctx context.Context) {
	logger := d.agent.logger.Named("rollout")
	for ctx.Err() == nil {
		state, changed := d.agent.state.current()
		svc, offset, ok := state.Service(d.agent.cfg.Service)
		retry := time.Duration(0)
		if ok && !d.agent.state.serves(svc.Version) {
			if err := d.bring(ctx, svc, offset); err != nil {
				logger.Warn("rollout failed", "version", svc.Version, "error", err)
				d.agent.state.setProgress("fetching", 0, 0, err.Error())
				retry = rolloutRetry
			}
		}
		d.wait(ctx, changed, retry)
	}
}

func (d *rolloutDuty) wait(ctx context.Context, changed <-chan struct{}, retry time.Duration) {
	var timer <-chan time.Time
	if retry > 0 {
		timer = time.After(retry)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer:
	}
}

func (s *agentState) serves(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intended = version
	return s.versionState == "serving" && s.version == version
}

// bring fetches the version, loads it and waits for the engine's word.
func (d *rolloutDuty) bring(ctx context.Context, svc settings.Service, offset int64) error {
	a := d.agent
	encoded, err := a.weights.Manifest(ctx, svc.Model, svc.Version, maxManifestBytes)
	if err != nil {
		return err
	}
	m, err := rollout.ParseManifest(encoded, svc.Manifest, a.cfg.MemoryCeiling)
	if err != nil {
		return err
	}
	data, err := d.fetch(ctx, m)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.data, d.model, d.loaded = data, m.Model, m.Version
	d.mu.Unlock()
	a.state.setProgress("loading", len(m.Chunks), len(m.Chunks), "")
	order := wire.LoadOrder{
		Model: m.Model, Version: m.Version, Digest: m.SHA256,
		Fence:  wire.Fence{Offset: offset, StartMS: a.incarnation},
		Source: "http://" + a.cfg.Listen + "/weights/v1/" + m.Model + "/" + m.Version + "/data",
	}
	if err := a.engine.load(ctx, order); err != nil {
		a.logger.Named("rollout").Warn("load order has no answer; asking the engine", "error", err)
	}
	return d.confirm(ctx, m)
}

func (d *rolloutDuty) fetch(ctx context.Context, m *rollout.Manifest) ([]byte, error) {
	data := make([]byte, 0, m.Size)
	for i, chunk := range m.Chunks {
		piece, err := d.agent.weights.Chunk(ctx, m.Model, m.Version, chunk.Index, chunk.Size)
		if err != nil {
			return nil, err
		}
		if digest(piece) != chunk.SHA256 {
			return nil, eris.Errorf("chunk %d is corrupt", chunk.Index)
		}
		data = append(data, piece...)
		d.agent.state.setProgress("fetching", i+1, len(m.Chunks), "")
	}
	if digest(data) != m.SHA256 {
		return nil, eris.New("version does not match its digest")
	}
	return data, nil
}

// confirm waits until the engine says that it runs the version.
func (d *rolloutDuty) confirm(ctx context.Context, m *rollout.Manifest) error {
	for ctx.Err() == nil {
		status, err := d.agent.engine.status(ctx)
		if err == nil && status.State == wire.EngineReady && status.Version == m.Version && status.Digest == m.SHA256 {
			d.agent.state.setServing(m.Version)
			d.agent.logger.Named("rollout").Info("version is served", "version", m.Version)
			return nil
		}
		if err == nil && status.State == wire.EngineFailed {
			return eris.New("engine failed to load the version")
		}
		select {
		case <-ctx.Done():
		case <-time.After(engineStatusEvery):
		}
	}
	return ctx.Err()
}

// handleData gives the whole version to the local engine.
func (d *rolloutDuty) handleData(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	data, ok := d.data, d.model == r.PathValue("model") && d.loaded == r.PathValue("version")
	d.mu.Unlock()
	if !ok {
		wire.WriteError(w, wire.Error{Kind: wire.ErrorNotFound, Message: "version is not held whole"})
		return
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
