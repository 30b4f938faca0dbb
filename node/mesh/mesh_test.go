package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
	"github.com/laburnumloft/laburnumloft/core/prompt"
	"github.com/laburnumloft/laburnumloft/core/quarantine"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

func TestDatagramsRoundTrip(t *testing.T) {
	c := qt.New(t)
	hello := Hello{Member: 7, Ready: true, StoreReachable: true, ConfigurationVersion: 1 << 40, WeightsSum: 5}
	got, err := Decode(EncodeHello(hello))
	c.Assert(err, qt.IsNil)
	c.Assert(*got.(*Hello), qt.Equals, hello)
	report := placement.Report{
		Address: "10.2.3.4:8103", Running: 12, Queued: 3, WeightVersion: 9, Loading: true, Slowdown: 1.5, Born: 1790258084367,
	}
	b, err := EncodeReport(report)
	c.Assert(err, qt.IsNil)
	got, err = Decode(b)
	c.Assert(err, qt.IsNil)
	c.Assert(*got.(*placement.Report), qt.Equals, report)
	// Figures of memory cost a byte, and nothing where no engine has them.
	plain := len(b)
	report.MemoryShare = 1
	b, err = EncodeReport(report)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.HasLen, plain+1)
	got, err = Decode(b)
	c.Assert(err, qt.IsNil)
	c.Assert(*got.(*placement.Report), qt.Equals, report)
	_, err = Decode(b[:plain])
	c.Assert(err, qt.Equals, ErrMalformedDatagram)
	held := HeldPieces{Member: 9, Version: 3, Pieces: []bool{true, false, true, true, false, false, false, false, true}}
	b, err = EncodeHeldPieces(held)
	c.Assert(err, qt.IsNil)
	got, err = Decode(b)
	c.Assert(err, qt.IsNil)
	c.Assert(*got.(*HeldPieces), qt.DeepEquals, held)
}

// Pieces of a version with more pieces than fit in a datagram must be refused.
func TestHeldPiecesLimit(t *testing.T) {
	c := qt.New(t)
	_, err := EncodeHeldPieces(HeldPieces{Pieces: make([]bool, MaxPieces+1)})
	c.Assert(err, qt.Equals, ErrMalformedDatagram)
}

// handleNotices decodes the datagrams of a notice and passes them to a tracker, as an entry
// that has seen none of the crashes does.
func handleNotices(c *qt.C, t *quarantine.Tracker, datagrams [][]byte, now time.Time) {
	for _, b := range datagrams {
		c.Assert(len(b) < maxDatagramBytes, qt.IsTrue)
		got, err := Decode(b)
		c.Assert(err, qt.IsNil)
		n := got.(*CrashNotice)
		if n.Suspect != nil {
			t.RecordCrash(*n.Suspect, quarantine.OtherEntry, now)
		}
		for _, v := range n.Verdicts {
			t.Adopt(v, now)
		}
	}
}

// Entries must learn of a part that crashes engines wherever it stands in a prompt: a suspect
// with many parts did not fit in a datagram, so that no other entry heard of the crash, and
// neither did several verdicts with many parts.
func TestCrashNoticeOfALongPrompt(t *testing.T) {
	const deadly = prompt.Part(1<<64 - 2)
	now := time.Unix(1_800_000_000, 0)
	for _, length := range []int{3, 100, 400, 5000} {
		for _, place := range []int{0, length / 2, length - 1} {
			t.Run(fmt.Sprint(place, " of ", length), func(t *testing.T) {
				c := qt.New(t)
				sees, hears, told := quarantine.NewTracker(1), quarantine.NewTracker(2), quarantine.NewTracker(3)
				for crash := range 3 {
					parts := make([]prompt.Part, length)
					for i := range parts {
						// Parts that no other request has, of the largest size on the wire.
						parts[i] = prompt.Part(1<<63) + prompt.Part(crash<<32+i)
					}
					parts[place] = deadly
					suspect := sees.Suspect(fmt.Sprint("e", crash), quarantine.Request{Parts: parts}, now)
					verdicts := sees.RecordCrash(suspect, quarantine.ThisEntry, now)
					datagrams, err := EncodeCrashNotice(CrashNotice{Suspect: &suspect})
					c.Assert(err, qt.IsNil)
					handleNotices(c, hears, datagrams, now)
					datagrams, err = EncodeCrashNotice(CrashNotice{Verdicts: verdicts})
					c.Assert(err, qt.IsNil)
					handleNotices(c, told, datagrams, now)
				}
				for _, entry := range []*quarantine.Tracker{sees, hears, told} {
					_, blocked := entry.Match(quarantine.Request{Parts: []prompt.Part{1, deadly, 2}}, now)
					c.Check(blocked, qt.IsTrue)
					_, blocked = entry.Match(quarantine.Request{Parts: []prompt.Part{1, 2}}, now)
					c.Check(blocked, qt.IsFalse)
				}
			})
		}
	}
}

// A notice must arrive as it was sent, in datagrams of limited size, and one that is malformed
// must be refused.
func TestCrashNoticeRoundTrip(t *testing.T) {
	c := qt.New(t)
	notice := CrashNotice{
		Suspect:  &quarantine.Suspect{Engine: "e@1", New: []prompt.Part{1<<64 - 1}, Known: []prompt.Part{2}, Cold: true},
		Verdicts: []quarantine.Verdict{{Parts: []prompt.Part{3}, Crashes: 2, Remaining: time.Minute, SinceFirst: time.Second, HadSound: true}},
	}
	for range 100 {
		parts := make([]prompt.Part, quarantine.MaxVerdictParts)
		for i := range parts {
			parts[i] = prompt.Part(1<<64-1) - prompt.Part(i)
		}
		notice.Verdicts = append(notice.Verdicts, quarantine.Verdict{Parts: parts, Crashes: 2, Remaining: time.Hour})
	}
	datagrams, err := EncodeCrashNotice(notice)
	c.Assert(err, qt.IsNil)
	var all CrashNotice
	for _, b := range datagrams {
		c.Check(len(b) < maxDatagramBytes, qt.IsTrue)
		got, err := Decode(b)
		c.Assert(err, qt.IsNil)
		if n := got.(*CrashNotice); n.Suspect != nil {
			all.Suspect = n.Suspect
		} else {
			all.Verdicts = append(all.Verdicts, n.Verdicts...)
		}
	}
	c.Assert(all, qt.DeepEquals, notice)
	for _, malformed := range []string{"\x07", "\x07{", "\x07{\"suspect\":{}}"} {
		_, err := Decode([]byte(malformed))
		c.Assert(err, qt.Equals, ErrMalformedDatagram)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeHello(Hello{Member: 1}))
	f.Add([]byte{kindHeld, 0, 0})
	f.Add(EncodeBundle(Bundle{Reports: []placement.Report{{Address: "10.0.0.1:1"}}, Hellos: []Hello{{Member: 2}}})[0])
	f.Add([]byte{kindBundle, 0, 0, 0, 0, 0, 0, 0, 0, 1, 255, 255, 255, 255})
	f.Add(bytes.Repeat([]byte{kindReport}, 27))
	f.Add([]byte("\x07{\"suspect\":{\"engine\":\"e@1\",\"new\":[1]},\"verdicts\":[{\"parts\":[2],\"crashes\":2}]}"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		// Decode must neither panic nor allocate more than the datagram's size.
		_, _ = Decode(b)
	})
}

func open(c *qt.C, id string, role Role, cfg Config) (*Mesh, Member) {
	return openIn(c, id, "r", role, cfg)
}

func openIn(c *qt.C, id, region string, role Role, cfg Config) (*Mesh, Member) {
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	member := Member{ID: id, Role: role, Address: probe.LocalAddr().String(), Front: "127.0.0.1:1", Zone: "z", Region: region}
	c.Assert(probe.Close(), qt.IsNil)
	cfg.Self, cfg.Log = member, decision.New(decision.Config{Part: "test", Output: io.Discard})
	m, err := Open(cfg)
	c.Assert(err, qt.IsNil)
	return m, member
}

// An entry that is no longer ready must be seen as not ready by the other entries
// after its next hello, and an agent's report must reach every entry.
func TestHelloAndReportReachEntries(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	reports := make(chan placement.Report, 10)
	a, am := open(c, "a", Entry, Config{Status: func() Hello { return Hello{Ready: true} }, OnReports: func(r []placement.Report) { reports <- r[0] }})
	b, bm := open(c, "b", Entry, Config{Status: func() Hello { return Hello{Ready: false, ConfigurationVersion: 5} }})
	agent, _ := open(c, "agent", Agent, Config{})
	for _, m := range []*Mesh{a, b, agent} {
		m.Put(am)
		m.Put(bm)
		wait.Go(func() { m.Run(ctx) })
	}
	deadline := time.After(5 * time.Second)
	for len(a.LiveEntries()) == 0 {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			c.Fatal("received no hello within 5 s")
		}
	}
	live := a.LiveEntries()[0]
	c.Assert(live.ID, qt.Equals, "b")
	c.Assert(live.Hello.Ready, qt.IsFalse)
	c.Assert(live.Hello.ConfigurationVersion, qt.Equals, int64(5))
	c.Assert(agent.SendReport(placement.Report{Address: "127.0.0.1:9", Running: 3}), qt.IsNil)
	select {
	case r := <-reports:
		c.Assert(r.Running, qt.Equals, 3)
	case <-deadline:
		c.Fatal("received no report within 5 s")
	}
}

// Malformed member records must be refused without affecting other members.
func TestMalformedMembersAreRefused(t *testing.T) {
	c := qt.New(t)
	m, _ := open(c, "a", Entry, Config{})
	defer func() { _ = m.conn.Close() }()
	m.Put(Member{ID: "x", Role: Entry, Address: "nowhere"})
	m.Put(Member{Role: Entry, Address: "127.0.0.1:1"})
	m.Put(Member{ID: "ok", Role: Entry, Address: "127.0.0.1:1"})
	c.Assert(len(m.Members(Entry)), qt.Equals, 1)
}
