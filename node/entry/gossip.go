package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/laburnumloft/laburnumloft/core/membership"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Times of the exchange between entries.
const (
	gossipInterval  = time.Second
	exchangeTimeout = 2 * time.Second
	// urgentInterval bounds how often departures cause extra exchanges.
	urgentInterval = 250 * time.Millisecond
	// urgentJitter spreads the exchanges that one departure causes.
	urgentJitter = 50 * time.Millisecond
)

// Exchange implements rpc.Peer.
func (p *peerServer) Exchange(ctx context.Context, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	e := p.entry
	e.settings.heard(req.GetSettingsOffset())
	_, encoded, _ := e.settings.current()
	var reply membership.Message
	msg := fromMessage(req.GetMembers())
	taken := e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
		out := view.HandleMessage(now, msg)
		reply = view.Reply(now, msg)
		return out
	})
	if !taken {
		return nil, twirp.NewError(twirp.ResourceExhausted, "membership duty is busy")
	}
	return &rpc.ExchangeResponse{SettingsOffset: encoded.GetOffset(), Members: toMessage(reply)}, nil
}

// gossip exchanges deltas with other entries for as long as ctx lasts.
func (e *Entry) gossip(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	next := time.NewTimer(time.Duration(rand.Float64() * float64(gossipInterval)))
	defer next.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(jitter(gossipInterval))
		case <-e.members.urgent:
			urgent = true
			sleep(ctx, time.Duration(rand.Float64()*float64(urgentJitter)))
		}
		for _, target := range e.targets(ctx, urgent) {
			exchanges.Go(func() { e.exchange(ctx, target) })
		}
		if urgent {
			sleep(ctx, urgentInterval)
		}
	}
}

func (e *Entry) targets(ctx context.Context, urgent bool) []membership.Member {
	var targets []membership.Member
	e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
		if urgent {
			targets = view.UrgentTargets(now)
		} else {
			targets = view.Targets(now)
		}
		return membership.Output{}
	})
	return targets
}

// exchange passes deltas to one entry and takes its deltas. A failure needs no
// retry: the next exchange goes to another entry.
func (e *Entry) exchange(ctx context.Context, target membership.Member) {
	var msg *membership.Message
	e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
		composed := view.Compose(now, target.ID)
		msg = &composed
		return membership.Output{}
	})
	client := rpc.NewPeerProtobufClient("http://"+target.PeerAddress, e.control)
	for msg != nil && ctx.Err() == nil {
		reply, err := e.call(ctx, client, *msg)
		if err != nil {
			memberCounters.Add("exchange_failed", 1)
			e.logger.Named("membership").Debug("exchange failed", "entry", target.ID, "error", err)
			return
		}
		msg = nil
		e.members.ask(ctx, func(now time.Time, view *membership.View) membership.Output {
			out := view.HandleMessage(now, reply)
			msg = out.FollowUp
			return out
		})
	}
}

func (e *Entry) call(ctx context.Context, client rpc.Peer, msg membership.Message) (membership.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, encoded, _ := e.settings.current()
	resp, err := client.Exchange(ctx, &rpc.ExchangeRequest{SettingsOffset: encoded.GetOffset(), Members: toMessage(msg)})
	if err != nil {
		return membership.Message{}, err
	}
	e.settings.heard(resp.GetSettingsOffset())
	return fromMessage(resp.GetMembers()), nil
}

func toMessage(m membership.Message) *rpc.PeerMessage {
	p := &rpc.PeerMessage{Self: toReport(m.From), Compare: m.Compare, Compared: m.Compared, Hashes: m.Hashes, Wants: m.Wants}
	for _, r := range m.Records {
		p.Reports = append(p.Reports, toReport(r))
	}
	for _, z := range m.Zones {
		p.ZoneIds = append(p.ZoneIds, z.ID)
		p.ZoneAgesMs = append(p.ZoneAgesMs, z.AgeMS)
		if m.HasDigests() {
			p.ZoneDigests = append(p.ZoneDigests, z.Digest)
		}
	}
	return p
}

func fromMessage(p *rpc.PeerMessage) membership.Message {
	m := membership.Message{
		From: fromReport(p.GetSelf()), Compare: p.GetCompare(), Compared: p.GetCompared(), Hashes: p.GetHashes(), Wants: p.GetWants(),
		Answer: !p.GetCompare() && len(p.GetZoneDigests()) > 0,
	}
	for _, r := range p.GetReports() {
		m.Records = append(m.Records, fromReport(r))
	}
	for i, id := range p.GetZoneIds() {
		z := membership.ZoneSummary{ID: id}
		if i < len(p.GetZoneAgesMs()) {
			z.AgeMS = p.GetZoneAgesMs()[i]
		}
		if i < len(p.GetZoneDigests()) {
			z.Digest = p.GetZoneDigests()[i]
		}
		m.Zones = append(m.Zones, z)
	}
	return m
}
