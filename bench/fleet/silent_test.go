package fleet

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// settleTime is the users' bound on the time until a drain or a configuration is in
	// force.
	settleTime = 2 * time.Second
	// freezeTime is how long entries are frozen. It is longer than any entry counts as
	// live without a heartbeat.
	freezeTime = 3500 * time.Millisecond
	// probeInterval is the time between two requests while entries are frozen.
	probeInterval = 50 * time.Millisecond
)

// Entries that pass on the list of servers and read the store for the others freeze, in
// series, right before or after a change. An entry that goes on must know the change within
// the bound (review/3, review/4).
func TestFrozenEntriesHideNoChange(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 3)
	frozen, live := f.entries[:entries-1], entries-1
	signal := func(s syscall.Signal) {
		for _, cmd := range frozen {
			c.Check(cmd.Process.Signal(s), qt.IsNil)
		}
	}
	for round := range 2 {
		f.eventually("all entries have the configuration", func() bool { return f.inForce(0) && f.inForce(1) && f.inForce(live) })
		// Frozen entries count as live again only after their heartbeats.
		<-time.After(time.Second)
		leaving := fmt.Sprint("plain-", round)
		change := func() {
			f.drain(leaving)
			f.writeBeat(leaving, f.plains[round].Beat("switching", plainIP(round)+":8001", "z"))
			f.configure()
		}
		if round == 0 {
			signal(syscall.SIGSTOP)
			change()
		} else {
			change()
			signal(syscall.SIGSTOP)
		}
		changed := time.Now()
		late := map[string]bool{}
		for n := 0; time.Since(changed) < freezeTime; n++ {
			id, sent := fmt.Sprintf("order-%d-%d", round, n), time.Now()
			f.call(live, "/order/", id)
			if sent.Sub(changed) > settleTime {
				late[id] = true
				c.Check(f.inForce(live), qt.IsTrue, qt.Commentf("round %d: the configuration is not in force after %v", round, sent.Sub(changed)))
			}
			<-time.After(probeInterval)
		}
		signal(syscall.SIGCONT)
		for id := range f.plains[round].Runs() {
			c.Check(late[id], qt.IsFalse, qt.Commentf("round %d: %s reached %s more than %v after it said that it drains", round, id, leaving, settleTime))
		}
	}
	f.checkServers(nil)
}
