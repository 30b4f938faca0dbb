package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playPlain plays 20 s of orders by 16 entries on 7 plain servers of 6 slots, of which two
// are eight times as slow from 5 to 12 s and a third fails at once meanwhile. It returns the
// part of the orders that are answered within 300 ms, and their number at each server.
func playPlain(spread bool, perSecond float64) (inTime float64, arrivals []int) {
	const entries, servers, slots, usual, target = 16, 7, 6, 60 * time.Millisecond, 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 8))
	var fleets []*Fleet
	for e := range entries {
		cfg := DefaultConfig("z")
		cfg.SpreadByRoom = spread
		f := NewFleet(cfg, NewPublishedVersions(time.Second, time.Second), uint64(e))
		f.SetEntryCount(entries)
		for s := range servers {
			f.Put(Server{ID: fmt.Sprint(s), Address: fmt.Sprintf("10.0.0.%d:80", s), Service: "plain", Zone: "z", Slots: slots})
		}
		fleets = append(fleets, f)
	}
	type order struct {
		fleet *Fleet
		h     Handle
		sent  time.Duration
		end   time.Duration
		fails bool
	}
	running, queued := make([][]order, servers), make([][]order, servers)
	arrivals = make([]int, servers)
	total, answered := 0, 0
	const step = time.Millisecond
	for at := time.Duration(0); at < 20*time.Second; at += step {
		spell := at >= 5*time.Second && at < 12*time.Second
		for s := range servers {
			running[s] = slices.DeleteFunc(running[s], func(o order) bool {
				if o.end > at {
					return false
				}
				outcome := Succeeded
				if o.fails {
					outcome = Errored
				} else if at-o.sent <= target {
					answered++
				}
				o.fleet.Done(start.Add(at), o.h, outcome)
				return true
			})
			for len(running[s]) < slots && len(queued[s]) > 0 {
				o := queued[s][0]
				queued[s] = queued[s][1:]
				work := usual/2 + time.Duration(rng.Int64N(int64(usual)))
				if o.fails = spell && s == 2; o.fails {
					work = step
				} else if spell && s < 2 {
					work *= 8
				}
				o.end = at + work
				running[s] = append(running[s], o)
			}
		}
		if rng.Float64() >= perSecond*step.Seconds() {
			continue
		}
		total++
		f := fleets[rng.IntN(entries)]
		choice, miss := f.Choose(start.Add(at), Query{Service: "plain"})
		if miss != Found {
			continue
		}
		s := int(choice.Server.ID[0] - '0')
		arrivals[s]++
		queued[s] = append(queued[s], order{fleet: f, h: choice.Handle, sent: at})
	}
	return float64(answered) / float64(total), arrivals
}

// Plain servers that are slow for a while fail no request and report nothing. Entries must
// send them fewer, must not prefer one that fails quickly, and must come back to them.
func TestSlowPlainServersGetFewerRequests(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{60, 200} {
		before, sentBefore := playPlain(false, perSecond)
		after, sent := playPlain(true, perSecond)
		c.Logf("%.0f a second: in time %.3f -> %.3f, arrivals %v -> %v", perSecond, before, after, sentBefore, sent)
		c.Check(after > before, qt.IsTrue)
		c.Check(float64(sent[2]) <= 1.2*float64(sentBefore[2]), qt.IsTrue)
		for _, n := range sent[:2] {
			c.Check(n < slices.Min(sent[3:]), qt.IsTrue)
			c.Check(float64(n) >= 0.3*float64(slices.Min(sent[3:])), qt.IsTrue)
		}
	}
}
