// Package membership keeps one entry's view of all entries and agents.
//
// The view is built from the platform's lagging list and from the members'
// own reports. A member reports to its home entries only: two entries chosen
// by rendezvous hash. Its home entries detect its silence and announce it;
// other entries take the announcement as a delta. A whole availability zone
// falls silent by the age of the latest word from any of its entries, so its
// loss needs no deltas.
//
// Records are ordered by (incarnation, sequence, state): a newer one always
// replaces an older one, never the reverse. Deltas travel in messages whose
// bytes a token bucket bounds. Zones are compared by digest now and then, so
// that an entry which missed a delta still gets it.
//
// A View does no I/O and reads no clock. Its caller passes events with a time
// and acts on the returned Output. A View is not safe for concurrent use.
package membership
