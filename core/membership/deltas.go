package membership

import (
	"math/bits"
	"slices"
	"time"
)

// Limits of the gossip between entries.
const (
	// DefaultBytesPerSecond limits the bytes that an entry sends. Each byte sent
	// is received by another node, so sent and received bytes together average
	// 5 KB/s, the budget of a node.
	DefaultBytesPerSecond = 2500
	// burstSeconds is the depth of the bucket in seconds of its rate.
	burstSeconds = 4
	// messageOverheadBytes is the size of an empty message with its framing.
	messageOverheadBytes = 100
	zoneSummaryBytes     = 6
	hashBytes            = 4
	// maxMessageBytes keeps one message from emptying the bucket.
	maxMessageBytes = 4000
	// defaultTransmitLimit is how many times an entry sends a change. The few
	// entries that still miss it get it by the comparison of digests.
	defaultTransmitLimit = 4
	// smallFleetMembers is the largest number of members with which changes are
	// always sent to other regions, because a workspace may be limited to regions
	// other than the region of its caller's entry.
	smallFleetMembers = 64
	// partnerCount is the number of random gossip partners of an entry.
	partnerCount            = 8
	partnerRotationInterval = 10 * time.Second
	compareInterval         = 5 * time.Second
	probeInterval           = 5 * time.Second
	// minCompareBytes is what the bucket must hold for a comparison: room for the
	// hashes and for some of the records that differ. With less, the lists of
	// hashes use up the bucket and no record is sent.
	minCompareBytes = urgentReserveBytes + 1000
	// Other changes leave urgentReserveBytes and compareReserveBytes in the bucket
	// and records sent after a comparison leave urgentReserveBytes, so that there
	// is always room for departures.
	compareReserveBytes = 2500
	urgentReserveBytes  = 2500
	// crossRegionFillShare is the fill level of the bucket, as a share of its
	// depth, from which changes are sent to other regions. A single change
	// then reaches other regions without a comparison of digests.
	crossRegionFillShare = 0.75
	// maxWants limits the records requested at once to what one answer can hold.
	maxWants = 64
	// fewDifferences is the number of differing records that deltas in transit
	// can explain. Only a larger difference shortens the interval of comparisons
	// to joinCompareInterval.
	fewDifferences = 8
	// differenceCompareInterval applies while comparisons find few differences,
	// and joinCompareInterval while they find more than fewDifferences.
	differenceCompareInterval = 2 * time.Second
	joinCompareInterval       = time.Second
	// maxLoadsPerMessage limits the load reports in one message.
	maxLoadsPerMessage = 8
)

// Message is a gossip message between two entries, a request or an answer.
type Message struct {
	From           Record
	SettingsOffset int64
	Records        []Record
	Zones          []ZoneSummary
	// Compare requests the record hashes of a zone whose digest differs.
	Compare bool
	// Answer is set in the answer to a message with Compare.
	Answer bool
	// Compared is the id of the zone whose record hashes are in Hashes.
	Compared uint32
	Hashes   []uint32
	// Wants are the hashes of the records that the receiver should send.
	Wants []uint32
}

// queue holds the changes that are still to be sent, by member id.
type queue map[string]*delta

type delta struct {
	sent, transmitLimit int
	urgent              bool
}

// bucket is a token bucket of bytes.
type bucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

func newBucket(now time.Time, rate float64) bucket {
	return bucket{rate: rate, tokens: rate * burstSeconds, refilledAt: now}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.rate*burstSeconds, b.tokens+d.Seconds()*b.rate)
		b.refilledAt = now
	}
}

// Charge deducts from the bucket the bytes that the caller sent in addition to
// the view's messages.
func (v *View) Charge(now time.Time, bytes int) {
	v.bucket.refill(now)
	v.bucket.tokens -= float64(bytes)
}

// queueDelta queues the member's record for sending and reports whether it
// should be sent immediately.
func (v *View) queueDelta(m *member) bool {
	// A record that refutes a suspicion has to reach all entries that received the
	// suspicion.
	departure := m.State == Leaving || m.State == Suspected || m.State == Gone
	urgent := departure || m.wasSuspected
	limit := defaultTransmitLimit
	if urgent {
		limit = max(limit, bits.Len(uint(v.liveEntryCount)))
		if len(v.queue) < fewDifferences {
			// A single departure has to reach every entry within seconds.
			limit = limit*2 + defaultTransmitLimit
		}
	}
	if !urgent && m.Region != v.cfg.Place.Region && !v.sendsAcrossRegions() {
		// In a large fleet, a change of state or version in another region matters
		// only if the own region has no backend server left. Entries outside
		// the member's region get the change by the comparison of digests.
		delete(v.queue, m.ID)
		return false
	}
	v.queue[m.ID] = &delta{transmitLimit: limit, urgent: urgent}
	return departure && m.State != Gone
}

// sendsAcrossRegions reports whether changes that are not urgent are sent to
// other regions: always in a small fleet, otherwise while the bucket is filled
// to crossRegionFillShare.
func (v *View) sendsAcrossRegions() bool {
	return len(v.members) <= smallFleetMembers || v.bucket.tokens >= v.bucket.rate*burstSeconds*crossRegionFillShare
}

// Targets returns the entries to exchange messages with in this gossip round:
// the owner's home entries, one partner of a small random subset that changes
// slowly, and now and then an entry that is gone.
//
// The owner's sequence number is the same in the whole round. If another entry
// received a higher sequence number than the home entries, that entry would refute
// the home entries' suspicion after the owner has crashed.
func (v *View) Targets(now time.Time) []Member {
	v.self.Sequence++
	entries := v.LiveEntries()
	v.updatePartners(now, entries)
	var ids []string
	for _, c := range Homes(v.cfg.ID, v.cfg.Place.Region, v.cfg.Place.Zone, entries) {
		ids = append(ids, c.ID)
	}
	for range v.partners {
		v.nextPartner = (v.nextPartner + 1) % len(v.partners)
		if id := v.partners[v.nextPartner]; !slices.Contains(ids, id) {
			ids = append(ids, id)
			break
		}
	}
	if len(ids) > 0 {
		v.comparePartner = ids[len(ids)-1]
	}
	if id := v.probeTarget(now); id != "" {
		ids = append(ids, id)
	}
	return v.reachableMembers(ids)
}

// probeTarget returns, once per probeInterval, an entry that is gone but still
// in the platform's list. An entry that was partitioned from all other entries
// and these entries consider each other gone. Without probes, they would not
// contact each other after the partition heals.
func (v *View) probeTarget(now time.Time) string {
	if now.Before(v.nextProbeAt) {
		return ""
	}
	v.nextProbeAt = now.Add(probeInterval)
	var gone []string
	for _, m := range v.membersInOrder {
		if m.Role == RoleEntry && m.EffectiveState == Gone && m.listed {
			gone = append(gone, m.ID)
		}
	}
	if len(gone) == 0 {
		return ""
	}
	return gone[v.rng.IntN(len(gone))]
}

// UrgentTargets returns the entries to send a departure to immediately, or none
// if the bucket has too few bytes.
func (v *View) UrgentTargets(now time.Time) []Member {
	v.bucket.refill(now)
	if v.bucket.tokens < float64(len(v.partners)*messageOverheadBytes*2) {
		v.counters.BucketExhausted++
		return nil
	}
	return v.reachableMembers(v.partners)
}

func (v *View) reachableMembers(ids []string) []Member {
	var found []Member
	for _, id := range ids {
		if m := v.members[id]; m != nil && m.PeerAddress != "" {
			found = append(found, m.Member)
		}
	}
	return found
}

// updatePartners replaces the partners that are gone or leaving, and one partner
// per partnerRotationInterval. Partners in silent zones are kept, because
// contact with them is how the end of a partition is detected.
func (v *View) updatePartners(now time.Time, live []Candidate) {
	v.partners = slices.DeleteFunc(v.partners, func(id string) bool {
		m := v.members[id]
		return m == nil || m.State == Gone || m.State == Leaving
	})
	if now.After(v.nextRotationAt) && len(v.partners) > 0 {
		v.nextRotationAt = now.Add(partnerRotationInterval)
		v.partners = slices.Delete(v.partners, 0, 1)
	}
	if len(v.partners) >= min(partnerCount, len(live)-1) && len(v.partners) > 0 {
		return
	}
	var candidates []string
	for _, m := range v.membersInOrder {
		if m.Role == RoleEntry && m != v.self && m.State != Gone && m.State != Leaving && m.PeerAddress != "" && !slices.Contains(v.partners, m.ID) {
			candidates = append(candidates, m.ID)
		}
	}
	slices.Sort(candidates)
	v.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	v.partners = append(v.partners, candidates[:min(len(candidates), max(0, partnerCount-len(v.partners)))]...)
}

// Compose returns the owner's next request to a peer.
func (v *View) Compose(now time.Time, to string) Message {
	v.bucket.refill(now)
	compare := !now.Before(v.nextCompareAt) && to == v.comparePartner && v.bucket.tokens >= minCompareBytes
	if compare {
		v.nextCompareAt = now.Add(compareInterval)
	}
	msg := v.newMessage(now, compare)
	msg.Compare = compare
	v.packRecords(now, &msg, nil, to)
	return msg
}

// Reply returns the answer to a received request.
func (v *View) Reply(now time.Time, req Message) Message {
	msg := v.newMessage(now, req.Compare)
	var wanted []*member
	if len(req.Wants) > 0 {
		wants := make(map[uint32]bool, len(req.Wants))
		for _, h := range req.Wants {
			wants[h] = true
		}
		for _, m := range v.membersInOrder {
			if m.recordHash != 0 && wants[m.recordHash] {
				wanted = append(wanted, m)
			}
		}
		slices.SortFunc(wanted, func(a, b *member) int { return compareIDs(a.ID, b.ID) })
	}
	if req.Compare {
		msg.Answer = true
		v.bucket.refill(now)
		v.addZoneHashes(&msg, req.Zones)
	}
	v.packRecords(now, &msg, wanted, req.From.ID)
	return msg
}

func (v *View) newMessage(now time.Time, digests bool) Message {
	from := v.self.Record
	if v.self.listed && v.self.listedPlace == from.Place {
		from.Place = Place{}
	}
	return Message{From: from, SettingsOffset: v.settingsOffset, Zones: v.zoneSummaries(now, digests)}
}

// addZoneHashes adds to the message the record hashes of one random zone whose
// digest differs from the peer's.
func (v *View) addZoneHashes(msg *Message, peerZones []ZoneSummary) {
	var differing, unconfirmedAtPeer []uint32
	for _, s := range peerZones {
		if z := v.zones[s.ID]; z != nil && z.digest != s.Digest && v.zoneIsConfirmed(s.ID) {
			differing = append(differing, s.ID)
			if s.Digest == 0 {
				unconfirmedAtPeer = append(unconfirmedAtPeer, s.ID)
			}
		}
	}
	if len(unconfirmedAtPeer) > 0 {
		// The peer sends no digest for a zone with unconfirmed members. It gives
		// these members no work until they are confirmed, so such zones come
		// first.
		differing = unconfirmedAtPeer
	}
	if len(differing) == 0 || v.bucket.tokens < minCompareBytes {
		return
	}
	msg.Compared = differing[v.rng.IntN(len(differing))]
	for _, m := range v.membersInOrder {
		if m.recordHash != 0 && m.digestZone.id == msg.Compared {
			msg.Hashes = append(msg.Hashes, m.recordHash)
		}
	}
	slices.Sort(msg.Hashes)
}

// zoneIsConfirmed reports whether a zone is not gone and has no unconfirmed
// members in the owner's view.
func (v *View) zoneIsConfirmed(id uint32) bool {
	if v.zones[id].state == Gone {
		return false
	}
	for _, m := range v.membersInOrder {
		if m.unconfirmed && m.digestZone.id == id {
			return false
		}
	}
	return true
}

// packRecords adds records to a message: first departures, then wanted records,
// then other changes, then load, as far as the bucket allows. Changes that don't
// fit stay queued; load that doesn't fit is dropped.
func (v *View) packRecords(now time.Time, msg *Message, wanted []*member, to string) {
	v.bucket.refill(now)
	size := msg.estimatedSize()
	sameRegion := true
	if m := v.members[to]; m != nil && m.Region != v.cfg.Place.Region {
		sameRegion = false
	}
	limit := min(maxMessageBytes, int(v.bucket.tokens))
	add := func(m *member) bool {
		r := v.compactRecord(m)
		if size+r.estimatedSize() > limit {
			return false
		}
		size += r.estimatedSize()
		msg.Records = append(msg.Records, r)
		return true
	}
	full := v.packQueue(add, true)
	limit = min(maxMessageBytes, int(v.bucket.tokens)-urgentReserveBytes)
	for _, m := range wanted {
		if full || !add(m) {
			full = true
			break
		}
	}
	limit = min(maxMessageBytes, int(v.bucket.tokens)-urgentReserveBytes-compareReserveBytes)
	if (sameRegion || v.sendsAcrossRegions()) && !full {
		full = v.packQueue(add, false)
	}
	if full {
		v.counters.BucketExhausted++
	}
	if sameRegion {
		v.addLoads(full, add)
	}
	v.bucket.tokens -= float64(size)
}

// packQueue adds the queued changes, either the urgent or the other ones, and
// reports whether it ran out of room.
func (v *View) packQueue(add func(*member) bool, urgent bool) bool {
	for _, id := range v.queue.sortedIDs(urgent) {
		d, m := v.queue[id], v.members[id]
		if m != nil && d.sent < d.transmitLimit {
			if !add(m) {
				return true
			}
			d.sent++
		}
		if m == nil || d.sent >= d.transmitLimit {
			delete(v.queue, id)
		}
	}
	return false
}

// HasDigests reports whether the message carries the digests of the zones.
func (msg *Message) HasDigests() bool {
	return msg.Compare || msg.Compared != 0 || msg.Answer
}

// estimatedSize estimates the bytes of the message without its records.
func (msg *Message) estimatedSize() int {
	n := messageOverheadBytes + zoneSummaryBytes*len(msg.Zones) + hashBytes*(len(msg.Hashes)+len(msg.Wants)) + msg.From.estimatedSize()
	if msg.HasDigests() {
		n += hashBytes * len(msg.Zones)
	}
	return n
}

// addLoads adds the load of up to maxLoadsPerMessage members that report to the
// owner if the bucket is at least half full.
func (v *View) addLoads(full bool, add func(*member) bool) {
	if len(v.homeMembers) == 0 {
		return
	}
	if full || v.bucket.tokens < v.bucket.rate*burstSeconds/2 {
		v.counters.LoadDropped++
		return
	}
	for range min(maxLoadsPerMessage, len(v.homeMembers)) {
		m := v.homeMembers[v.nextLoad%len(v.homeMembers)]
		v.nextLoad++
		if m.Role == RoleAgent && m.EffectiveState == Serving && m.Running+m.Queued > 0 && !add(m) {
			return
		}
	}
}

// compactRecord returns the member's record, without the place if the platform's
// list has the same one.
func (v *View) compactRecord(m *member) Record {
	r := m.Record
	if m.listed && m.listedPlace == m.Place {
		r.Place = Place{}
	}
	return r
}

// sortedIDs returns the ids of the members whose queued change is urgent, or of
// those whose change is not urgent. Ids with the fewest transmissions come first.
func (q queue) sortedIDs(urgent bool) []string {
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
		return compareIDs(a, b)
	})
	return ids
}

// HandleMessage handles a request or an answer from a peer.
func (v *View) HandleMessage(now time.Time, msg Message) Output {
	var out Output
	if msg.From.ID != "" && msg.From.ID != v.cfg.ID {
		out = v.HandleReport(now, msg.From)
		if m := v.members[msg.From.ID]; m != nil {
			v.getOrAddZone(now, m.Zone).lastContact = now
		}
	}
	v.handleZoneSummaries(now, msg.Zones)
	for _, r := range msg.Records {
		out = mergeOutputs(out, v.handleRecord(now, r))
	}
	if msg.Compared != 0 {
		out = mergeOutputs(out, v.reconcile(now, msg, &out))
	}
	if msg.HasDigests() {
		for _, s := range msg.Zones {
			if z := v.zones[s.ID]; z != nil && s.Digest != 0 && z.digest == s.Digest {
				out.Changed = v.confirmMembers(now, s.ID, func(uint32) bool { return true }) || out.Changed
			}
		}
	}
	return out
}

// reconcile handles a peer's list of record hashes. If it differs from the
// owner's, the follow-up message carries the records that the peer lacks and the
// hashes of those that the owner lacks.
func (v *View) reconcile(now time.Time, msg Message, out *Output) Output {
	peerHashes := make(map[uint32]bool, len(msg.Hashes))
	for _, h := range msg.Hashes {
		peerHashes[h] = true
	}
	var missingAtPeer []*member
	for _, m := range v.membersInOrder {
		if m.recordHash != 0 && m.digestZone.id == msg.Compared {
			if peerHashes[m.recordHash] {
				delete(peerHashes, m.recordHash)
			} else if !m.unconfirmed {
				missingAtPeer = append(missingAtPeer, m)
			}
		}
	}
	changed := v.confirmMembers(now, msg.Compared, func(h uint32) bool { return slices.Contains(msg.Hashes, h) })
	if len(missingAtPeer) == 0 && len(peerHashes) == 0 {
		return Output{Changed: changed}
	}
	if len(missingAtPeer)+len(peerHashes) > fewDifferences {
		v.nextCompareAt = now.Add(joinCompareInterval)
	} else {
		v.nextCompareAt = now.Add(differenceCompareInterval)
	}
	followUp := v.newMessage(now, false)
	for h := range peerHashes {
		if len(followUp.Wants) < maxWants {
			followUp.Wants = append(followUp.Wants, h)
		}
	}
	slices.Sort(followUp.Wants)
	slices.SortFunc(missingAtPeer, func(a, b *member) int { return compareIDs(a.ID, b.ID) })
	v.packRecords(now, &followUp, missingAtPeer, msg.From.ID)
	out.FollowUp = &followUp
	return Output{Changed: changed}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
