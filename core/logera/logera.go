// Package logera gives the records of an append-only log positions that are never given
// out twice, although the log may come back from a copy and give its offsets out again.
//
// Such a log starts a new era. Positions of a later era are higher than all of the eras
// before it, so that the lost records look like records that expired unread: readers of
// settings keep what is in force until an operator recovers the log, and the index of
// claims refuses the keys whose claims may be lost.
package logera

// offsetBits is the number of bits of an offset in a position: 10^12 records an era.
const offsetBits = 40

// Position returns the position of an offset in an era.
func Position(era, offset int64) int64 { return era<<offsetBits | offset }

// Split returns the era and the offset of a position.
func Split(position int64) (era, offset int64) {
	return position >> offsetBits, position & (1<<offsetBits - 1)
}
