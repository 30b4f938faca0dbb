// Package membership maintains one entry's view of all entries and agents.
//
// The view combines the platform's membership list, which lags behind, with
// the reports that members send. A member reports only to its home entries,
// which are two entries chosen by rendezvous hashing. The home entries detect
// that a member is silent and queue a delta for gossip; other entries apply
// the delta. The silence of a whole availability zone is detected by the time
// of the latest contact with any of the zone's entries, so the loss of a zone
// needs no deltas.
//
// Records are ordered by (incarnation, sequence, state). A newer record
// replaces an older one, never the reverse. A token bucket limits the bytes of
// the messages that carry deltas. Entries periodically compare one digest per
// zone, so that an entry that missed a delta still receives the change.
//
// A View does no I/O and reads no clock. Its caller passes in events with
// their time and acts on the returned Output. A View is not safe for
// concurrent use.
package membership
