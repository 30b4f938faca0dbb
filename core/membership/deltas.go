package membership

import (
	"math/bits"
	"slices"
	"time"
)

// Limits of the exchange of deltas.
const (
	// DefaultBytesPerSecond bounds the bytes that a node sends. Each byte is
	// received by another node, so bytes sent and received together average
	// the 5 KB/s that a node may use.
	DefaultBytesPerSecond = 2500
	// burstSeconds is the depth of the bucket.
	burstSeconds = 4
	// messageBytes is the cost of an empty message with its framing.
	messageBytes = 100
	zoneBytes    = 6
	hashBytes    = 4
	// maxMessageBytes keeps one message from taking the whole bucket.
	maxMessageBytes = 4000
	// stateRepeats is how often an entry passes on a change; the comparison of
	// zones finds the few entries that it missed.
	stateRepeats = 4
	// smallFleet is the number of members up to which all changes of all
	// regions are passed on. A workspace may be limited to regions other than
	// that of the entry that its caller uses.
	smallFleet = 64
	// partnerCount is the number of entries that random exchanges go to.
	partnerCount = 8
	rotateEvery  = 10 * time.Second
	compareEvery = 5 * time.Second
	probeEvery   = 5 * time.Second
	// compareTokens is what the bucket must hold for a comparison: the hashes
	// and some of the records that differ. Without it the lists of hashes take
	// all bytes and no record follows.
	compareTokens = urgentReserve + 1000
	// Changes of state leave compareReserve and comparisons leave
	// urgentReserve in the bucket, so that departures always find room.
	compareReserve = 2500
	urgentReserve  = 2500
	// spareShare is the fill of the bucket from which changes cross regions.
	// Small fleets and single changes then need no comparison.
	spareShare = 0.75
	// maxWants bounds the records asked for at once to what one answer holds.
	maxWants = 64
	// fewDifferences is what deltas on their way explain. Only a larger
	// difference makes comparisons more frequent.
	fewDifferences = 8
	// differCompareEvery applies while a comparison finds a difference, and
	// joinCompareEvery while it finds many.
	differCompareEvery = 2 * time.Second
	joinCompareEvery   = time.Second
	// maxLoads bounds the loads in one message.
	maxLoads = 8
)

// Message is what two entries exchange.
type Message struct {
	From           Record
	SettingsOffset int64
	Records        []Record
	Zones          []ZoneSummary
	// Compare asks for the hashes of a zone whose digest differs.
	Compare bool
	// Answer is set in the answer to such a message.
	Answer bool
	// Compared is the zone that Hashes lists.
	Compared uint32
	Hashes   []uint32
	// Wants are the hashes of records that the receiver should send.
	Wants []uint32
}

// queue holds the changes that are still to be passed on.
type queue map[string]*delta

type delta struct {
	sent, repeats int
	urgent        bool
}

// bucket is a token bucket of bytes.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func newBucket(now time.Time, rate float64) bucket {
	return bucket{rate: rate, tokens: rate * burstSeconds, at: now}
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.rate*burstSeconds, b.tokens+d.Seconds()*b.rate)
		b.at = now
	}
}

// Charge takes bytes that the caller sent besides messages of the view.
func (v *View) Charge(now time.Time, bytes int) {
	v.bucket.fill(now)
	v.bucket.tokens -= float64(bytes)
}

// announce queues the member's record and reports whether it is urgent.
func (v *View) announce(m *member) bool {
	// What contradicts a suspicion has to reach all who heard of it.
	departure := m.State == Leaving || m.State == Suspected || m.State == Gone
	urgent := departure || m.alarmed
	repeats := stateRepeats
	if urgent {
		repeats = max(repeats, bits.Len(uint(v.liveEntries)))
		if len(v.queue) < fewDifferences {
			// Single departures have to reach the last entry within seconds.
			repeats = repeats*2 + stateRepeats
		}
	}
	if !urgent && m.Region != v.cfg.Place.Region && !v.crossesRegions() {
		// In a large fleet, other regions' changes of state and version matter
		// only when the own region has no backend left; the comparison of zones
		// brings them.
		delete(v.queue, m.ID)
		return false
	}
	v.queue[m.ID] = &delta{repeats: repeats, urgent: urgent}
	return departure && m.State != Gone
}

// crossesRegions reports whether changes of state pass between regions: always
// in a small fleet, else while the bucket is full enough.
func (v *View) crossesRegions() bool {
	return len(v.members) <= smallFleet || v.bucket.tokens >= v.bucket.rate*burstSeconds*spareShare
}

// Targets returns the entries to exchange with now: the home entries of the
// owner and one partner of a small, slowly changing random subset.
//
// One sequence number serves the whole round. If others than the home entries
// got a higher one, they would contradict the suspicion of a dead entry.
func (v *View) Targets(now time.Time) []Member {
	v.self.Sequence++
	entries := v.LiveEntries()
	v.pickPartners(now, entries)
	var ids []string
	for _, c := range Homes(v.cfg.ID, v.cfg.Place.Region, v.cfg.Place.Zone, entries) {
		ids = append(ids, c.ID)
	}
	for range v.partners {
		v.next = (v.next + 1) % len(v.partners)
		if id := v.partners[v.next]; !slices.Contains(ids, id) {
			ids = append(ids, id)
			break
		}
	}
	if len(ids) > 0 {
		v.compareWith = ids[len(ids)-1]
	}
	if id := v.probe(now); id != "" {
		ids = append(ids, id)
	}
	return v.lookup(ids)
}

// probe returns a dropped entry that the list still shows, now and then. An
// entry that was cut off alone has dropped all others and they it, so that
// nobody would end the separation.
func (v *View) probe(now time.Time) string {
	if now.Before(v.probeAt) {
		return ""
	}
	v.probeAt = now.Add(probeEvery)
	var dropped []string
	for _, m := range v.order {
		if m.Role == RoleEntry && m.Status == Gone && m.listed {
			dropped = append(dropped, m.ID)
		}
	}
	if len(dropped) == 0 {
		return ""
	}
	return dropped[v.rng.IntN(len(dropped))]
}

// UrgentTargets returns the entries to tell of a departure at once, or none
// if the bucket does not allow it.
func (v *View) UrgentTargets(now time.Time) []Member {
	v.bucket.fill(now)
	if v.bucket.tokens < float64(len(v.partners)*messageBytes*2) {
		v.counters.Exhausted++
		return nil
	}
	return v.lookup(v.partners)
}

func (v *View) lookup(ids []string) []Member {
	var found []Member
	for _, id := range ids {
		if m := v.members[id]; m != nil && m.PeerAddress != "" {
			found = append(found, m.Member)
		}
	}
	return found
}

// pickPartners replaces lost partners, and one partner now and then. Contact
// with entries in silent zones goes on, because it ends their separation.
func (v *View) pickPartners(now time.Time, live []Candidate) {
	v.partners = slices.DeleteFunc(v.partners, func(id string) bool {
		m := v.members[id]
		return m == nil || m.State == Gone || m.State == Leaving
	})
	if now.After(v.rotateAt) && len(v.partners) > 0 {
		v.rotateAt = now.Add(rotateEvery)
		v.partners = slices.Delete(v.partners, 0, 1)
	}
	if len(v.partners) >= min(partnerCount, len(live)-1) && len(v.partners) > 0 {
		return
	}
	var candidates []string
	for _, m := range v.order {
		if m.Role == RoleEntry && m != v.self && m.State != Gone && m.State != Leaving && m.PeerAddress != "" && !slices.Contains(v.partners, m.ID) {
			candidates = append(candidates, m.ID)
		}
	}
	slices.Sort(candidates)
	v.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	v.partners = append(v.partners, candidates[:min(len(candidates), max(0, partnerCount-len(v.partners)))]...)
}

// Compose returns the owner's next message to a peer.
func (v *View) Compose(now time.Time, to string) Message {
	v.bucket.fill(now)
	compare := !now.Before(v.compareAt) && to == v.compareWith && v.bucket.tokens >= compareTokens
	if compare {
		v.compareAt = now.Add(compareEvery)
	}
	msg := v.message(now, compare)
	msg.Compare = compare
	v.pack(now, &msg, nil, to)
	return msg
}

// Reply returns the answer to a received message.
func (v *View) Reply(now time.Time, req Message) Message {
	msg := v.message(now, req.Compare)
	var wanted []*member
	if len(req.Wants) > 0 {
		wants := make(map[uint32]bool, len(req.Wants))
		for _, h := range req.Wants {
			wants[h] = true
		}
		for _, m := range v.order {
			if m.hash != 0 && wants[m.hash] {
				wanted = append(wanted, m)
			}
		}
		slices.SortFunc(wanted, func(a, b *member) int { return compare(a.ID, b.ID) })
	}
	if req.Compare {
		msg.Answer = true
		v.bucket.fill(now)
		v.compareZones(&msg, req.Zones)
	}
	v.pack(now, &msg, wanted, req.From.ID)
	return msg
}

func (v *View) message(now time.Time, digests bool) Message {
	from := v.self.Record
	if v.self.listed && v.self.listPlace == from.Place {
		from.Place = Place{}
	}
	return Message{From: from, SettingsOffset: v.settingsOffset, Zones: v.summaries(now, digests)}
}

// compareZones lists the record hashes of one zone whose digests differ.
func (v *View) compareZones(msg *Message, theirs []ZoneSummary) {
	var differing, distrusted []uint32
	for _, s := range theirs {
		if z := v.zones[s.ID]; z != nil && z.digest != s.Digest && v.trusts(s.ID) {
			differing = append(differing, s.ID)
			if s.Digest == 0 {
				distrusted = append(distrusted, s.ID)
			}
		}
	}
	if len(distrusted) > 0 {
		// The peer gives these zones no work until they are confirmed.
		differing = distrusted
	}
	if len(differing) == 0 || v.bucket.tokens < compareTokens {
		return
	}
	msg.Compared = differing[v.rng.IntN(len(differing))]
	for _, m := range v.order {
		if m.hash != 0 && m.hashZone.id == msg.Compared {
			msg.Hashes = append(msg.Hashes, m.hash)
		}
	}
	slices.Sort(msg.Hashes)
}

// trusts reports whether the owner itself has no doubt about a zone.
func (v *View) trusts(id uint32) bool {
	if v.zones[id].state == Gone {
		return false
	}
	for _, m := range v.order {
		if m.unconfirmed && m.hashZone.id == id {
			return false
		}
	}
	return true
}

// pack fills a message with departures, then wanted records, then other
// changes, then load, as far as the bucket reaches. What does not fit stays
// queued, but load is dropped.
func (v *View) pack(now time.Time, msg *Message, wanted []*member, to string) {
	v.bucket.fill(now)
	size := msg.size()
	near := true
	if m := v.members[to]; m != nil && m.Region != v.cfg.Place.Region {
		near = false
	}
	limit := min(maxMessageBytes, int(v.bucket.tokens))
	add := func(m *member) bool {
		r := v.compact(m)
		if size+r.size() > limit {
			return false
		}
		size += r.size()
		msg.Records = append(msg.Records, r)
		return true
	}
	full := v.packQueue(add, true)
	limit = min(maxMessageBytes, int(v.bucket.tokens)-urgentReserve)
	for _, m := range wanted {
		if full || !add(m) {
			full = true
			break
		}
	}
	limit = min(maxMessageBytes, int(v.bucket.tokens)-urgentReserve-compareReserve)
	if (near || v.crossesRegions()) && !full {
		full = v.packQueue(add, false)
	}
	if full {
		v.counters.Exhausted++
	}
	if near {
		v.addLoads(full, add)
	}
	v.bucket.tokens -= float64(size)
}

// packQueue adds queued changes and reports whether room ran out.
func (v *View) packQueue(add func(*member) bool, urgent bool) bool {
	for _, id := range v.queue.order(urgent) {
		d, m := v.queue[id], v.members[id]
		if m != nil && d.sent < d.repeats {
			if !add(m) {
				return true
			}
			d.sent++
		}
		if m == nil || d.sent >= d.repeats {
			delete(v.queue, id)
		}
	}
	return false
}

// Digests reports whether the message carries the zones' digests.
func (msg *Message) Digests() bool {
	return msg.Compare || msg.Compared != 0 || msg.Answer
}

// size estimates the bytes of the message without its records.
func (msg *Message) size() int {
	n := messageBytes + zoneBytes*len(msg.Zones) + hashBytes*(len(msg.Hashes)+len(msg.Wants)) + msg.From.size()
	if msg.Digests() {
		n += hashBytes * len(msg.Zones)
	}
	return n
}

// addLoads adds the load of a few members that report to the owner while the
// bucket is at least half full.
func (v *View) addLoads(full bool, add func(*member) bool) {
	if len(v.homed) == 0 {
		return
	}
	if full || v.bucket.tokens < v.bucket.rate*burstSeconds/2 {
		v.counters.LoadDropped++
		return
	}
	for range min(maxLoads, len(v.homed)) {
		m := v.homed[v.loadFrom%len(v.homed)]
		v.loadFrom++
		if m.Role == RoleAgent && m.Status == Serving && m.Running+m.Queued > 0 && !add(m) {
			return
		}
	}
}

// compact leaves out the place if the platform's list shows the same one.
func (v *View) compact(m *member) Record {
	r := m.Record
	if m.listed && m.listPlace == m.Place {
		r.Place = Place{}
	}
	return r
}

// order returns the queued urgent or other members, the least sent first.
func (q queue) order(urgent bool) []string {
	var ids []string
	for id, d := range q {
		if d.urgent == urgent {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if q[a].sent != q[b].sent {
			return q[a].sent - q[b].sent
		}
		return compare(a, b)
	})
	return ids
}

// Receive takes a message of a peer, request or answer.
func (v *View) Receive(now time.Time, msg Message) Output {
	var out Output
	if msg.From.ID != "" && msg.From.ID != v.cfg.ID {
		out = v.Report(now, msg.From)
		if m := v.members[msg.From.ID]; m != nil {
			v.zone(now, m.Zone).heard = now
		}
	}
	v.hearZones(now, msg.Zones)
	for _, r := range msg.Records {
		out = merge(out, v.take(now, r))
	}
	if msg.Compared != 0 {
		out = merge(out, v.reconcile(now, msg, &out))
	}
	if msg.Digests() {
		for _, s := range msg.Zones {
			if z := v.zones[s.ID]; z != nil && s.Digest != 0 && z.digest == s.Digest {
				out.Changed = v.confirm(now, s.ID, func(uint32) bool { return true }) || out.Changed
			}
		}
	}
	return out
}

// reconcile answers a list of hashes with the records that the peer lacks and
// with the hashes that the owner lacks.
func (v *View) reconcile(now time.Time, msg Message, out *Output) Output {
	theirs := make(map[uint32]bool, len(msg.Hashes))
	for _, h := range msg.Hashes {
		theirs[h] = true
	}
	var extra []*member
	for _, m := range v.order {
		if m.hash != 0 && m.hashZone.id == msg.Compared {
			if theirs[m.hash] {
				delete(theirs, m.hash)
			} else if !m.unconfirmed {
				extra = append(extra, m)
			}
		}
	}
	changed := v.confirm(now, msg.Compared, func(h uint32) bool { return slices.Contains(msg.Hashes, h) })
	if len(extra) == 0 && len(theirs) == 0 {
		return Output{Changed: changed}
	}
	if len(extra)+len(theirs) > fewDifferences {
		v.compareAt = now.Add(joinCompareEvery)
	} else {
		v.compareAt = now.Add(differCompareEvery)
	}
	follow := v.message(now, false)
	for h := range theirs {
		if len(follow.Wants) < maxWants {
			follow.Wants = append(follow.Wants, h)
		}
	}
	slices.Sort(follow.Wants)
	slices.SortFunc(extra, func(a, b *member) int { return compare(a.ID, b.ID) })
	v.pack(now, &follow, extra, msg.From.ID)
	out.FollowUp = &follow
	return Output{Changed: changed}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
