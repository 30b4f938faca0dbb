package stager

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// pullTimeout limits a pull of all parts of a piece, without the wait for its turn.
const pullTimeout = 2 * pieceTimeout

var errEndlessPiece = eris.New("the peer's piece is too large, or its parts come too slowly")

// incomingPieces limits the pieces on their way to this machine as core/rollout
// decides from their progress.
type incomingPieces struct {
	// turn is held by the only pull that may go on while the link is narrow.
	turn chan struct{}

	mu   sync.Mutex
	link *rollout.Downlink
}

// newIncomingPieces returns the limits of a link of a rate in Mbit/s; 0 means an
// unknown rate.
func newIncomingPieces(linkMbps float64) *incomingPieces {
	return &incomingPieces{
		turn: make(chan struct{}, 1),
		link: rollout.NewDownlink(rollout.DownlinkConfig{Rate: linkMbps * 1e6 / 8, MaxPulls: maxExchangePulls}),
	}
}

// maxPulls returns how many pulls from peers may run at once.
func (p *incomingPieces) maxPulls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.MaxPulls()
}

// partBytes returns how many bytes of a piece one request may ask for.
func (p *incomingPieces) partBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.PartBytes()
}

// narrow reports whether the link counts as narrow.
func (p *incomingPieces) narrow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Narrow()
}

// check reports whether the link has become narrow.
func (p *incomingPieces) check() (becameNarrow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Check(time.Now())
}

// takeTurn waits until this pull may go on while the link is narrow.
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
	pieces    *incomingPieces
	requested time.Time
	bytes     int
}

// beginTransfer records the first byte of the response to a request.
func (p *incomingPieces) beginTransfer(requested time.Time) *transfer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.Begin(time.Now())
	return &transfer{pieces: p, requested: requested}
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
	t.pieces.link.End(t.bytes, now.Sub(t.requested), now)
	return before && !t.pieces.link.Narrow()
}

// pullFromPeer fetches a piece from a peer in parts. On a narrow link one pull at a time
// goes on.
func (f *fetch) pullFromPeer(ctx context.Context, peer rollout.Peer, number int) (data []byte, err error) {
	holdsTurn := false
	defer func() {
		if holdsTurn {
			f.incoming.releaseTurn()
		}
	}()
	deadline := time.Now().Add(pullTimeout)
	for complete := false; !complete; {
		if !holdsTurn && f.incoming.narrow() {
			if err := f.incoming.takeTurn(ctx); err != nil {
				return nil, err
			}
			holdsTurn = true
			deadline = time.Now().Add(pullTimeout)
		}
		if len(data) > maxPieceBytes || time.Now().After(deadline) {
			f.peers.startBackoff(peer.ID)
			return nil, errEndlessPiece
		}
		var part []byte
		if part, complete, err = f.pullPart(ctx, peer, number, len(data)); err != nil {
			return nil, err
		}
		data = append(data, part...)
	}
	return data, nil
}

func (f *fetch) pullPart(ctx context.Context, peer rollout.Peer, number, from int) (part []byte, complete bool, err error) {
	return f.peers.piecePart(ctx, peer, pieceQuery{
		Model: f.manifest.Model, Version: f.manifest.Version, Number: number, From: from, Bytes: f.incoming.partBytes(),
	}, f.incoming.beginTransfer, f.logWide)
}

// logWide logs that the link is no longer narrow.
func (f *fetch) logWide() { f.cfg.Log.Event("downlink_wide", "version", f.manifest.Version) }
