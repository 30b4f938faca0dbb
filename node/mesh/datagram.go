// Package mesh exchanges unsolicited datagrams between the processes of the
// system: entries send heartbeats (hellos), and agents send load reports of their
// engines. A few entries of each region, its collectors, collect both and forward
// them in bundles. The package also holds the list of members.
package mesh

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
)

// Datagram kinds.
const (
	kindHello            = 1
	kindReport           = 2
	kindHeld             = 3
	kindJoin             = 4
	kindPublishedVersion = 5
	kindBundle           = 6
	kindCrashNotice      = 7
	kindServerNotices    = 8
	kindPermitRequest    = 9
	kindPermitReply      = 10
	kindEvacuations      = 11
)

// paceScale is the factor that turns the pace into an integer on the wire, and maxPace
// the largest such integer.
const (
	paceScale = 16
	maxPace   = 1<<8 - 1
)

// Flags of a datagram.
const (
	flagReady = 1 << iota
	flagStoreReachable
	flagLoading
	flagDown
	flagStoreFailed
	// flagChanged marks a report that must not wait for the next bundle.
	flagChanged
	// flagRelay marks a bundle that the receiver forwards to its region.
	flagRelay
	// flagMemory marks reports with a byte of memory in use each, behind the others.
	flagMemory
)

// ErrMalformedDatagram is returned for data that can't be encoded as, or decoded
// from, a datagram of this package.
var ErrMalformedDatagram = errors.New("malformed datagram of the mesh, or data too large or unfit for one")

// Hello is the heartbeat of an entry.
type Hello struct {
	// Member is the hash of the sender's id.
	Member uint64
	// Ready means that the sender accepts callers.
	Ready bool
	// StoreReachable means that the sender reaches the platform's store.
	StoreReachable bool
	// StoreFailed means that the sender recently failed to reach the store.
	StoreFailed bool
	// ConfigurationVersion is the version of the sender's active configuration.
	ConfigurationVersion int64
	// WeightsSum is the sum of the newest published weight versions of all models
	// that the sender knows; it grows with each newer version.
	WeightsSum int64
}

// HeldPieces lists the pieces of a version that an agent holds.
type HeldPieces struct {
	// Member is the hash of the sender's id.
	Member  uint64
	Version int64
	Pieces  []bool
}

// PublishedVersion is a weight version that the operator has just published.
type PublishedVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// EncodePublishedVersion returns the datagram of a published version.
func EncodePublishedVersion(n PublishedVersion) ([]byte, error) {
	return encodeJSON(kindPublishedVersion, n)
}

func decodePublishedVersion(b []byte) (*PublishedVersion, error) {
	var n PublishedVersion
	if json.Unmarshal(b[1:], &n) != nil || n.Model == "" || n.Version < 1 {
		return nil, ErrMalformedDatagram
	}
	return &n, nil
}

// CrashNotice tells other entries of a request under which an engine crashed, of
// verdicts on prompt parts, or of both.
type CrashNotice struct {
	Suspect  *quarantine.Suspect  `json:"suspect,omitempty"`
	Verdicts []quarantine.Verdict `json:"verdicts,omitempty"`
}

// maxPartsPerNotice is the number of parts of a suspect in one datagram: in one packet, since
// each has up to 21 bytes.
const maxPartsPerNotice = 56

// EncodeCrashNotice returns the datagrams of a notice. A suspect with many parts is sent in
// pieces.
func EncodeCrashNotice(n CrashNotice) (datagrams [][]byte, err error) {
	if n.Suspect != nil {
		for _, piece := range n.Suspect.Pieces(maxPartsPerNotice, rand.Uint64()|1) {
			b, err := encodeJSON(kindCrashNotice, CrashNotice{Suspect: &piece})
			if err != nil {
				return nil, err
			}
			datagrams = append(datagrams, b)
		}
	}
	for rest := n.Verdicts; len(rest) > 0; {
		b, sent, err := encodeVerdicts(rest)
		if err != nil {
			return nil, err
		}
		datagrams, rest = append(datagrams, b), rest[sent:]
	}
	return datagrams, nil
}

// encodeVerdicts returns a datagram with the first verdicts, as many as it holds.
func encodeVerdicts(verdicts []quarantine.Verdict) (b []byte, sent int, err error) {
	for sent = len(verdicts); ; sent = (sent + 1) / 2 {
		b, err = encodeJSON(kindCrashNotice, CrashNotice{Verdicts: verdicts[:sent]})
		if err == nil || sent == 1 {
			return b, sent, err
		}
	}
}

func decodeCrashNotice(b []byte) (*CrashNotice, error) {
	var n CrashNotice
	if json.Unmarshal(b[1:], &n) != nil || n.Suspect != nil && n.Suspect.Engine == "" {
		return nil, ErrMalformedDatagram
	}
	return &n, nil
}

// ServerNotices tells what is known about backend servers in need.
type ServerNotices struct {
	Notices []backpressure.Notice `json:"notices"`
}

// Evacuations tells which availability zones the operator empties.
type Evacuations struct {
	Notices []evacuation.Notice `json:"notices"`
}

// PermitRequest asks an entry for permits for a limited server.
type PermitRequest struct {
	// Member is the hash of the sender's id.
	Member uint64 `json:"member"`
	backpressure.PermitRequest
}

// encodeJSON returns a datagram with a kind and a value in JSON.
func encodeJSON(kind byte, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil || len(b) >= maxDatagramBytes {
		return nil, ErrMalformedDatagram
	}
	return append([]byte{kind}, b...), nil
}

// decodeJSON decodes the value of a datagram that encodeJSON returned.
func decodeJSON[T any](b []byte) (*T, error) {
	v := new(T)
	if json.Unmarshal(b[1:], v) != nil {
		return nil, ErrMalformedDatagram
	}
	return v, nil
}

// EncodeJoin returns the datagram with the record of a new process.
func EncodeJoin(m Member) ([]byte, error) {
	return encodeJSON(kindJoin, m)
}

func decodeJoin(b []byte) (*Member, error) {
	var m Member
	if json.Unmarshal(b[1:], &m) != nil || m.ID == "" {
		return nil, ErrMalformedDatagram
	}
	return &m, nil
}

// wireHeld is the header before the pieces, which have one bit each.
type wireHeld struct {
	Kind, Flags uint8
	Member      uint64
	Version     int64
	Pieces      uint16
}

// MaxPieces is the number of pieces that fit in a datagram; pieces of larger
// versions are not announced.
const MaxPieces = 8 * 1024

// EncodeHeldPieces returns the datagram of held pieces.
func EncodeHeldPieces(h HeldPieces) ([]byte, error) {
	if len(h.Pieces) > MaxPieces {
		return nil, ErrMalformedDatagram
	}
	b := encode(wireHeld{Kind: kindHeld, Member: h.Member, Version: h.Version, Pieces: uint16(len(h.Pieces))})
	bits := make([]byte, (len(h.Pieces)+7)/8)
	for i, held := range h.Pieces {
		if held {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return append(b, bits...), nil
}

func decodeHeldPieces(b []byte) (*HeldPieces, error) {
	var w wireHeld
	size := binary.Size(w)
	if len(b) < size || decode(b[:size], &w) != nil || len(b)-size != (int(w.Pieces)+7)/8 {
		return nil, ErrMalformedDatagram
	}
	h := &HeldPieces{Member: w.Member, Version: w.Version, Pieces: make([]bool, w.Pieces)}
	for i := range h.Pieces {
		h.Pieces[i] = b[size+i/8]&(1<<(i%8)) != 0
	}
	return h, nil
}

// wireHello and wireReport have fixed sizes; the byte order is big-endian. The
// reports of 53 engines fit in a bundle of one packet.
type wireHello struct {
	Kind, Flags   uint8
	Member        uint64
	Configuration int64
	Weights       int64
}

type wireReport struct {
	Flags                 uint8
	IP                    [4]byte
	Port                  uint16
	Running, Queued, Pace uint8
	WeightVersion         uint32
	Sequence              uint32
	Born                  int64
}

// wireBundle is the header before the reports and the hellos.
type wireBundle struct {
	Kind, Flags     uint8
	Collector       uint64
	Reports, Hellos uint16
}

// Bundle holds the reports and hellos that a collector received.
type Bundle struct {
	// Collector is the hash of the collector's id.
	Collector uint64
	// Relay asks the receiver, in another region, to forward the bundle there.
	Relay   bool
	Reports []placement.Report
	Hellos  []Hello
}

// MemberHash returns the hash that identifies a member in datagrams.
func MemberHash(id string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// EncodeHello returns the datagram of a hello.
func EncodeHello(h Hello) []byte {
	return encode(toWireHello(h))
}

func toWireHello(h Hello) wireHello {
	return wireHello{kindHello, flag(h.Ready, flagReady) | flag(h.StoreReachable, flagStoreReachable) | flag(h.StoreFailed, flagStoreFailed), h.Member, h.ConfigurationVersion, h.WeightsSum}
}

func (w wireHello) hello() Hello {
	return Hello{
		Member: w.Member, Ready: w.Flags&flagReady != 0, StoreReachable: w.Flags&flagStoreReachable != 0, StoreFailed: w.Flags&flagStoreFailed != 0,
		ConfigurationVersion: w.Configuration, WeightsSum: w.Weights,
	}
}

// EncodeReport returns the datagram of a report, or an error if its address is not
// an IPv4 address with a port.
func EncodeReport(r placement.Report) ([]byte, error) {
	w, err := toWireReport(r)
	if err != nil {
		return nil, err
	}
	if r.MemoryShare > 0 {
		w.Flags |= flagMemory
		return slices.Concat([]byte{kindReport}, encode(w), []byte{wireMemory(r)}), nil
	}
	return append([]byte{kindReport}, encode(w)...), nil
}

func decodeReport(b []byte) (*placement.Report, error) {
	var w wireReport
	size := binary.Size(w)
	if len(b) < size || decode(b[:size], &w) != nil || len(b)-size != memoryBytes(w.Flags, 1) {
		return nil, ErrMalformedDatagram
	}
	r := w.report()
	if len(b) > size {
		r.MemoryShare = memoryShare(b[size])
	}
	return &r, nil
}

// memoryScale is the figure of memory that is all in use.
const memoryScale = 255

// wireMemory rounds up, so that no memory in use is missed.
func wireMemory(r placement.Report) uint8 {
	return uint8(math.Ceil(memoryScale * min(max(r.MemoryShare, 0), 1)))
}

func memoryShare(b uint8) float64 { return float64(b) / memoryScale }

// memoryBytes returns the length of the figures of memory in a datagram.
func memoryBytes(flags uint8, reports int) int {
	if flags&flagMemory == 0 {
		return 0
	}
	return reports
}

func toWireReport(r placement.Report) (wireReport, error) {
	addr, err := netip.ParseAddrPort(r.Address)
	if err != nil || !addr.Addr().Is4() {
		return wireReport{}, ErrMalformedDatagram
	}
	return wireReport{
		Flags: flag(r.Loading, flagLoading) | flag(r.Down, flagDown) | flag(r.Changed, flagChanged),
		IP:    addr.Addr().As4(), Port: addr.Port(),
		Running: clamp(r.Running), Queued: clamp(r.Queued), Pace: clamp(int(min(r.Slowdown*paceScale, maxPace))),
		WeightVersion: uint32(r.WeightVersion), Sequence: r.Sequence, Born: r.Born,
	}, nil
}

func (w wireReport) report() placement.Report {
	return placement.Report{
		Address: netip.AddrPortFrom(netip.AddrFrom4(w.IP), w.Port).String(),
		Running: int(w.Running), Queued: int(w.Queued), Slowdown: float64(w.Pace) / paceScale,
		WeightVersion: int64(w.WeightVersion), Sequence: w.Sequence, Born: w.Born,
		Loading: w.Flags&flagLoading != 0, Down: w.Flags&flagDown != 0, Changed: w.Flags&flagChanged != 0,
	}
}

// maxBundleBytes is the largest datagram that links carry in one packet.
const maxBundleBytes = 1400

// EncodeBundle returns the datagrams of a bundle, at least one. It omits reports
// whose address is not an IPv4 address with a port.
func EncodeBundle(b Bundle) [][]byte {
	var reports []wireReport
	var memory []byte
	known := false
	for _, r := range b.Reports {
		if w, err := toWireReport(r); err == nil {
			reports, memory = append(reports, w), append(memory, wireMemory(r))
			known = known || r.MemoryShare > 0
		}
	}
	if !known {
		memory = nil
	}
	var hellos []wireHello
	for _, h := range b.Hellos {
		hellos = append(hellos, toWireHello(h))
	}
	header := wireBundle{Kind: kindBundle, Flags: flag(b.Relay, flagRelay) | flag(known, flagMemory), Collector: b.Collector}
	reportSize := binary.Size(wireReport{}) + memoryBytes(header.Flags, 1)
	space := maxBundleBytes - binary.Size(header)
	var out [][]byte
	for {
		nr := min(len(reports), space/reportSize)
		nh := min(len(hellos), (space-nr*reportSize)/binary.Size(wireHello{}))
		header.Reports, header.Hellos = uint16(nr), uint16(nh)
		nm := memoryBytes(header.Flags, nr)
		out = append(out, slices.Concat(encode(header), encode(reports[:nr]), encode(hellos[:nh]), memory[:nm]))
		memory = memory[nm:]
		reports, hellos = reports[nr:], hellos[nh:]
		if len(reports)+len(hellos) == 0 {
			return out
		}
	}
}

func decodeBundle(b []byte) (*Bundle, error) {
	var w wireBundle
	size := binary.Size(w)
	if len(b) < size || decode(b[:size], &w) != nil {
		return nil, ErrMalformedDatagram
	}
	b = b[size:]
	reportBytes := int(w.Reports) * binary.Size(wireReport{})
	helloBytes := int(w.Hellos) * binary.Size(wireHello{})
	if len(b) != reportBytes+helloBytes+memoryBytes(w.Flags, int(w.Reports)) {
		return nil, ErrMalformedDatagram
	}
	memory := b[reportBytes+helloBytes:]
	reports, hellos := make([]wireReport, w.Reports), make([]wireHello, w.Hellos)
	if decode(b[:reportBytes], reports) != nil || decode(b[reportBytes:reportBytes+helloBytes], hellos) != nil {
		return nil, ErrMalformedDatagram
	}
	bundle := &Bundle{Collector: w.Collector, Relay: w.Flags&flagRelay != 0}
	for i, r := range reports {
		report := r.report()
		if len(memory) > 0 {
			report.MemoryShare = memoryShare(memory[i])
		}
		bundle.Reports = append(bundle.Reports, report)
	}
	for _, h := range hellos {
		bundle.Hellos = append(bundle.Hellos, h.hello())
	}
	return bundle, nil
}

// Decode decodes a datagram to a *Hello, a *placement.Report, a *HeldPieces, a
// *Member, a *PublishedVersion, a *Bundle, a *CrashNotice, a *ServerNotices, a
// *PermitRequest, a *backpressure.PermitReply or an *Evacuations.
func Decode(b []byte) (any, error) {
	if len(b) == 0 {
		return nil, ErrMalformedDatagram
	}
	switch b[0] {
	case kindHello:
		var w wireHello
		if err := decode(b, &w); err != nil {
			return nil, err
		}
		h := w.hello()
		return &h, nil
	case kindReport:
		return decodeReport(b[1:])
	case kindHeld:
		return decodeHeldPieces(b)
	case kindJoin:
		return decodeJoin(b)
	case kindPublishedVersion:
		return decodePublishedVersion(b)
	case kindBundle:
		return decodeBundle(b)
	case kindCrashNotice:
		return decodeCrashNotice(b)
	case kindServerNotices:
		return decodeJSON[ServerNotices](b)
	case kindPermitRequest:
		return decodeJSON[PermitRequest](b)
	case kindPermitReply:
		return decodeJSON[backpressure.PermitReply](b)
	case kindEvacuations:
		return decodeJSON[Evacuations](b)
	default:
		return nil, ErrMalformedDatagram
	}
}

func encode(v any) []byte {
	var b bytes.Buffer
	// Writing a fixed-size value to a buffer never fails.
	_ = binary.Write(&b, binary.BigEndian, v)
	return b.Bytes()
}

func decode(b []byte, v any) error {
	if len(b) != binary.Size(v) {
		return ErrMalformedDatagram
	}
	return binary.Read(bytes.NewReader(b), binary.BigEndian, v)
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

func clamp(n int) uint8 {
	return uint8(min(max(n, 0), 1<<8-1))
}
