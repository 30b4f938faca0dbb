package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// poison: a part of a prompt crashes each engine that begins to write an answer on it. The
// engine crashes right after its first event has left it, or with POINT=none before the
// first byte.
func init() {
	shapes["poison"] = Shape{regions: 1, entriesPerRegion: 3, enginesPerRegion: 8, plains: 0}
	cases["poison"] = func(f *Fleet, trouble bool) error {
		const deadly = "dead0b5e:200"
		for _, e := range f.engines {
			e.onRun = func(e *Engine, r *http.Request) bool {
				if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadly) {
					return false
				}
				e.crash(3 * time.Second)
				return true
			}
		}
		// With POINT=header the engine crashes after the header, as the project's own
		// stand-in does. That is no case; it shows what differs.
		point := os.Getenv("POINT")
		for _, e := range f.engines {
			e.headerFirst, e.eventFirst = point == "header", point == ""
		}
		const contact = 3 * time.Second
		poisonFrom := time.Now().Add(6 * time.Second)
		poisonTo := poisonFrom.Add(22 * time.Second)
		stop := make(chan struct{})
		clients := f.load(16, 300*time.Millisecond, stop, func(c *Client) {
			now := time.Now()
			if trouble && now.After(poisonFrom) && now.Before(poisonTo) && rand.IntN(20) == 0 {
				c.modelRequest("deadly", "a1:40,"+deadly)
				return
			}
			c.modelRequest("prompt", "a1:40,b2:60")
		})
		time.Sleep(time.Until(poisonTo.Add(3 * time.Second)))
		close(stop)
		clients.Wait()
		var crashes []time.Time
		f.mu.Lock()
		arrivals := append([]Arrival(nil), f.arrivals...)
		f.mu.Unlock()
		total := 0
		for _, e := range f.engines {
			e.mu.Lock()
			total += e.crashes
			e.mu.Unlock()
		}
		f.mu.Lock()
		crashes = append(crashes, f.crashTimes...)
		f.mu.Unlock()
		f.note("poison", "crashes", total, "quarantines", f.logCount("prompt_quarantined"), "suspects", f.logCount("crash_suspect"))
		if !trouble {
			if total > 0 {
				return errors.New("engines crashed without the part")
			}
			return nil
		}
		if len(crashes) < 5 {
			return nil
		}
		late := 0
		for _, a := range arrivals {
			if strings.Contains(a.parts, deadly) && a.at.After(crashes[4].Add(contact)) {
				late++
			}
		}
		served, sent := f.served("prompt", crashes[4].Add(2*contact), poisonTo)
		f.note("judged", "fifth_crash", crashes[4].Sub(f.started).Seconds(), "deadly_arrivals_later", late, "sound_served", served, "sound_sent", sent)
		if late > 3 {
			f.breaks("BUDGET", fmt.Sprintf("%d requests with the part reached engines later than contactMs after the fifth crash; %d engines crashed; of %d sound requests %d were served", late, total, sent, served))
		}
		return nil
	}
}
