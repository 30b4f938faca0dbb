package stager

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// errLinkNarrow cancels requests for whole pieces when the downlink becomes narrow.
var errLinkNarrow = eris.New("the downlink has become narrow")

// incomingPieces limits the pieces on their way to this machine as core/rollout
// decides from their progress.
type incomingPieces struct {
	// turn is held by the only pull that may request parts on a narrow link.
	turn chan struct{}

	mu   sync.Mutex
	link *rollout.Downlink
	// wide ends with errLinkNarrow when the link becomes narrow.
	wide       context.Context
	cancelWide context.CancelCauseFunc
}

// newIncomingPieces returns the limits of a link of a rate in Mbit/s; 0 means an
// unknown rate.
func newIncomingPieces(linkMbps float64) *incomingPieces {
	rate := linkMbps * 1e6 / 8
	p := &incomingPieces{
		turn: make(chan struct{}, 1),
		link: rollout.NewDownlink(rollout.DownlinkConfig{Rate: rate, MaxPulls: maxExchangePulls}),
	}
	p.wide, p.cancelWide = context.WithCancelCause(context.Background())
	return p
}

// maxPulls returns how many pulls from peers may run at once.
func (p *incomingPieces) maxPulls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.MaxPulls()
}

// narrow reports whether the link counts as narrow.
func (p *incomingPieces) narrow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Narrow()
}

// check reports whether the link has become narrow, and then cancels the requests for
// whole pieces, so that what is left of them does not enter the link's queue.
func (p *incomingPieces) check() (becameNarrow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.link.Check(time.Now()) {
		return false
	}
	p.cancelWide(errLinkNarrow)
	return true
}

// begin returns how many bytes of a piece to request, 0 for all, and the context of
// the request.
func (p *incomingPieces) begin(ctx context.Context) (partBytes int, partCtx context.Context, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if partBytes = p.link.PartBytes(); partBytes > 0 {
		partCtx, cancel = context.WithCancel(ctx)
		return partBytes, partCtx, cancel
	}
	if p.wide.Err() != nil {
		p.wide, p.cancelWide = context.WithCancelCause(context.Background())
	}
	partCtx, cancelCause := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.wide, func() { cancelCause(errLinkNarrow) })
	return 0, partCtx, func() { stop(); cancelCause(nil) }
}

// takeTurn waits until this pull may request parts on a narrow link.
func (p *incomingPieces) takeTurn(ctx context.Context) error {
	select {
	case p.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *incomingPieces) releaseTurn() { <-p.turn }

// recordPiece records that a pull delivered its piece.
func (p *incomingPieces) recordPiece() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.RecordPiece()
}

// transfer records the progress of one response.
type transfer struct {
	pieces *incomingPieces
	begun  time.Time
	bytes  int
}

// beginTransfer records the first byte of a response.
func (p *incomingPieces) beginTransfer() *transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &transfer{pieces: p, begun: time.Now()}
	p.link.Begin(t.begun)
	return t
}

func (t *transfer) received(n int) {
	t.pieces.mu.Lock()
	defer t.pieces.mu.Unlock()
	t.bytes += n
	t.pieces.link.Received(n, time.Now())
}

// end records the last byte, and reports whether the link is no longer narrow.
func (t *transfer) end(complete bool) (becameWide bool) {
	t.pieces.mu.Lock()
	defer t.pieces.mu.Unlock()
	if !complete {
		t.bytes = 0
	}
	now, before := time.Now(), t.pieces.link.Narrow()
	t.pieces.link.End(t.bytes, now.Sub(t.begun), now)
	return before && !t.pieces.link.Narrow()
}

// pullFromPeer fetches a piece from a peer: whole, or in parts while the link is
// narrow. What had arrived when the link became narrow is kept.
func (f *fetch) pullFromPeer(ctx context.Context, peer rollout.Peer, number int) ([]byte, error) {
	var data []byte
	holdsTurn := false
	defer func() {
		if holdsTurn {
			f.incoming.releaseTurn()
		}
	}()
	for {
		if !holdsTurn && f.incoming.narrow() {
			if err := f.incoming.takeTurn(ctx); err != nil {
				return nil, err
			}
			holdsTurn = true
		}
		part, complete, err := f.pullPart(ctx, peer, number, len(data))
		data = append(data, part...)
		switch {
		case err != nil && !errors.Is(err, errLinkNarrow):
			return nil, err
		case err == nil && complete:
			return data, nil
		}
	}
}

// pullPart requests the rest of a piece, or a part of it on a narrow link. With
// errLinkNarrow it returns what had arrived until then.
func (f *fetch) pullPart(ctx context.Context, peer rollout.Peer, number, from int) (part []byte, complete bool, err error) {
	limit, partCtx, cancel := f.incoming.begin(ctx)
	defer cancel()
	part, complete, err = f.peers.piecePart(partCtx, peer, pieceQuery{
		Model: f.manifest.Model, Version: f.manifest.Version, Number: number, From: from, Bytes: limit,
	}, func() *transfer { return f.incoming.beginTransfer() }, f.logWide)
	if err != nil && errors.Is(context.Cause(partCtx), errLinkNarrow) && ctx.Err() == nil {
		return part, false, errLinkNarrow
	}
	return part, complete, err
}

// logWide logs that the link is no longer narrow.
func (f *fetch) logWide() { f.cfg.Log.Event("downlink_wide", "version", f.manifest.Version) }
