package rollout

import "time"

// DownlinkConfig configures a Downlink.
type DownlinkConfig struct {
	// Rate is the stated rate of the link in bytes per second; 0 means unknown, and
	// then the link never counts as narrow.
	Rate float64
	// MaxPulls is how many pulls may run at once on a link at its stated rate.
	MaxPulls int
}

const (
	// narrowShare is the share of its stated rate below which a link counts as
	// narrow while pulls are receiving. Two uploads that share a machine's uplink
	// still reach it.
	narrowShare = 0.25
	// narrowWindow is the receiving time over which the rate is measured.
	narrowWindow = 150 * time.Millisecond
	// wideParts is how many parts in a row must arrive at wideShare of the stated rate
	// until a narrow link counts as wide again. Their times include those of the
	// requests, so that the share is lower than narrowShare.
	wideParts = 3
	wideShare = 0.18
	// partBytes is how much of a piece one request asks for. When a link falls to an
	// eighth of 9.4 Mbit/s, four of them on their way delay a request by 0.45 s.
	// Smaller parts make a rollout slower.
	partBytes = 16 << 10
	// narrowPartBytes is the same on a narrow link, where one part is on its way. It
	// delays a request by 55 ms.
	narrowPartBytes = 8 << 10
)

// Downlink decides how many pulls may run at once, so that pieces do not fill the queue
// of a narrow link. Requests to the engine on the same machine, and the ends of those
// whose callers have left, wait in that queue. For the same reason pulls request pieces
// in parts.
//
// The number of pulls starts at one and grows with each delivered piece. If the pulls
// together receive less than narrowShare of the stated rate, the link counts as
// narrow, and one pull may run at a time. A wrong verdict, for example because a sender
// is slow, ends after wideParts parts.
//
// It does no I/O and is not safe for concurrent use.
type Downlink struct {
	cfg    DownlinkConfig
	pulls  int
	narrow bool
	// receiving counts the transfers between their first and their last byte.
	receiving int
	// windowTime and windowBytes are the receiving time and the bytes of the current
	// window; lastAt is until when windowTime counts.
	windowTime  time.Duration
	windowBytes int
	lastAt      time.Time
	fastParts   int
}

// NewDownlink returns the state of a link that carried nothing yet.
func NewDownlink(cfg DownlinkConfig) *Downlink {
	return &Downlink{cfg: cfg, pulls: 1}
}

// MaxPulls returns how many pulls may run at once.
func (d *Downlink) MaxPulls() int {
	if d.cfg.Rate <= 0 {
		return d.cfg.MaxPulls
	}
	return d.pulls
}

// PartBytes returns how many bytes of a piece one request may ask for.
func (d *Downlink) PartBytes() int {
	if d.narrow {
		return narrowPartBytes
	}
	return partBytes
}

// Narrow reports whether the link counts as narrow.
func (d *Downlink) Narrow() bool { return d.narrow }

// Begin records the first byte of a transfer.
func (d *Downlink) Begin(now time.Time) {
	d.advance(now)
	d.receiving++
}

// Received records bytes of a transfer.
func (d *Downlink) Received(bytes int, now time.Time) {
	d.advance(now)
	d.windowBytes += bytes
}

// End records the end of a transfer that took the given time from its request to its
// last byte. bytes is 0 if it failed. The time from its first byte would not do: a
// process that reads late finds the whole part.
func (d *Downlink) End(bytes int, took time.Duration, now time.Time) {
	d.advance(now)
	d.receiving--
	if !d.narrow || bytes == 0 {
		return
	}
	if took.Seconds()*d.cfg.Rate*wideShare > float64(bytes) {
		d.fastParts = 0
		return
	}
	if d.fastParts++; d.fastParts >= wideParts {
		d.narrow, d.pulls = false, 1
		d.resetWindow()
	}
}

// RecordPiece records that a pull delivered its piece.
func (d *Downlink) RecordPiece() {
	if !d.narrow {
		d.pulls = min(d.pulls+1, d.cfg.MaxPulls)
	}
}

// Check reports whether the link has become narrow. It is called regularly while
// pulls run, because a link that carries nothing records nothing.
func (d *Downlink) Check(now time.Time) (becameNarrow bool) {
	d.advance(now)
	if d.narrow || d.cfg.Rate <= 0 || d.windowTime < narrowWindow {
		return false
	}
	rate := float64(d.windowBytes) / d.windowTime.Seconds()
	d.resetWindow()
	if rate >= narrowShare*d.cfg.Rate {
		return false
	}
	d.narrow, d.pulls, d.fastParts = true, 1, 0
	return true
}

// advance adds the time since the last call to the window if a transfer was receiving.
func (d *Downlink) advance(now time.Time) {
	if d.receiving > 0 && now.After(d.lastAt) {
		d.windowTime += now.Sub(d.lastAt)
	}
	d.lastAt = now
}

func (d *Downlink) resetWindow() { d.windowTime, d.windowBytes = 0, 0 }
