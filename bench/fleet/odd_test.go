package fleet

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxEntryMemory is the memory of an entry in the settings, in bytes.
const maxEntryMemory = 200 << 20

// oddValues are values of records that another writer may leave.
func oddValues() [][]byte {
	deep := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	server := func(field, value string) string {
		// Only records whose address can't be used name the service of the calls.
		service := `"elsewhere"`
		if field == "address" {
			service = `"holding"`
		}
		fields := map[string]string{"service": service, "address": `"127.77.4.9:8001"`, "zone": `"z"`, "slots": "16", "state": `"ready"`, "born": "1", "models": "[]"}
		fields[field] = value
		var parts []string
		for name, v := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	long := `"` + strings.Repeat("x", 70_000) + `"`
	values := []string{
		"", "{", "[]", "null", "17", `"x"`, "{\"service\":", "\x00\xff\xfe", "{}}{", "NaN",
		deep(9_900), deep(10_100), deep(100_000), strings.Repeat(`{"a":`, 60_000),
		server("address", `"127.77.4.9:99999"`), server("address", `"127.77.4.9:-1"`), server("address", `"127.77.4.9"`), server("address", `":0"`),
		server("address", `"[::1%lo]:1"`), server("address", `"a b:1"`), server("address", long), server("address", "7"), server("address", deep(9_900)),
		server("slots", "1e400"), server("slots", "-5"), server("slots", "123456789012345678901234567890"), server("slots", "1.5"), server("slots", `"16"`),
		server("born", "1e400"), server("born", "-9223372036854775809"), server("born", "true"), server("service", long), server("service", "[1]"), server("zone", long),
		server("state", `"sleeping"`), server("models", `[{"name":"m","version":1e99}]`), server("models", deep(9_900)), server("layers", deep(9_900)), server("layers", `[{"from":-1,"target":9223372036854775807,"version":1}]`),
	}
	out := make([][]byte, len(values))
	for i, v := range values {
		out[i] = []byte(v)
	}
	return out
}

// processes returns the ids of the running processes.
func (f *fleet) processes() (ids []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.entries {
		ids = append(ids, cmd.Process.Pid)
	}
	for _, cmd := range f.agents {
		ids = append(ids, cmd.Process.Pid)
	}
	return ids
}

// checkAlive checks that all processes run, and that entries stay within their memory.
func (f *fleet) checkAlive() {
	f.c.Helper()
	for i, pid := range f.processes() {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		f.c.Assert(err, qt.IsNil)
		f.c.Check(bytes.Contains(status, []byte("State:\tZ")), qt.IsFalse, qt.Commentf("process %d of the fleet ended", i))
		for _, line := range strings.Split(string(status), "\n") {
			if kib, found := strings.CutPrefix(line, "VmHWM:"); found && i < entries {
				n, err := strconv.Atoi(strings.Fields(kib)[0])
				f.c.Check(err, qt.IsNil)
				f.c.Check(n<<10 <= maxEntryMemory, qt.IsTrue, qt.Commentf("entry %d used %d KiB", i, n))
			}
		}
	}
	f.c.Check(strings.Contains(f.logs.String(), "panic:"), qt.IsFalse, qt.Commentf("%s", tail(f.logs.String())))
}

// checkFollowed checks that a server that registers now gets requests, from entries
// that start now, too.
func (f *fleet) checkFollowed() {
	f.c.Helper()
	f.startHolding()
	f.restart(f.entries, 1, syscall.SIGKILL)
	f.eventually("restarted entry ready", func() bool { return f.ready(1) })
	for n := range 30 {
		f.c.Check(f.holdCall(n%entries, "/hold/", fmt.Sprint("followed-", n)).send(), qt.Equals, "200")
	}
	f.checkAlive()
}

// Records of another writer among those of the servers must end no process, and the
// others must still be followed (report of other operators).
func TestOddServerRecordsAreIgnored(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for i, value := range oddValues() {
		for _, key := range []string{fmt.Sprint("odd-", i), fmt.Sprint("zz-odd-", i), strings.Repeat("k", 250) + fmt.Sprint(i), "\xff\xfe" + string(rune('0'+i))} {
			f.store.PutRaw("keyed.servers", key, value)
		}
	}
	<-time.After(2 * time.Second)
	f.checkAlive()
	f.checkFollowed()
}

// Thousands of odd records at once must not use up the memory of an entry.
func TestManyOddServerRecordsFitTheMemory(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	// 240 MB pass to each entry that reads them, on a machine that may be busy.
	f.patience = 3 * usualPatience
	large := []byte(`{"service":"holding","address":"` + strings.Repeat("x", 60_000) + `","state":"ready"}`)
	for n := range 4000 {
		f.store.PutRaw("keyed.servers", fmt.Sprint("odd-", n), large)
	}
	<-time.After(3 * time.Second)
	f.checkAlive()
	f.checkFollowed()
}

// Odd records among those of the operator and of the members must end no process, and
// later ones must be followed.
func TestOddOperatorAndMemberRecordsAreIgnored(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for i, value := range oddValues() {
		for _, key := range []string{"config", "version/" + model, "version/", fmt.Sprint("odd-", i)} {
			f.store.PutRaw("keyed.op", key, value)
		}
		for _, prefix := range []string{"", "manifest/", "quarantine/"} {
			f.store.PutRaw("keyed.members", fmt.Sprint(prefix, "odd-", i), value)
		}
		id := fmt.Sprint("bad-", i)
		f.store.PutRaw("keyed.members", id, []byte(fmt.Sprintf(`{"id":%q,"role":"entry","address":%q,"front":%q,"zone":"z","region":"r"}`, id, strings.Repeat("9", i)+":99999", "x")))
	}
	f.store.PutRaw("keyed.op", "config", []byte(`{"version":99999,"routes":[{"hostname":"h.example","pathPrefix":"","timeoutMs":1e300}]`))
	<-time.After(time.Second)
	f.checkAlive()
	f.configure()
	for i := range entries {
		f.eventually("configuration after odd ones in force", func() bool { return f.inForce(i) })
	}
	f.nameWeights()
	f.eventually("weights after odd ones on all engines", f.onVersion)
	f.checkFollowed()
}

// A configuration must not be lost because an odd one follows it in the same read.
func TestConfigurationBeforeAnOddOneIsInForce(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for range 5 {
		f.configure()
		f.store.PutRaw("keyed.op", "config", []byte(`{"version":`))
		for i := range entries {
			begun := time.Now()
			for !f.inForce(i) && time.Since(begun) < 4*time.Second {
				<-time.After(50 * time.Millisecond)
			}
			c.Check(f.inForce(i), qt.IsTrue, qt.Commentf("entry %d", i))
		}
	}
}

// Odd datagrams and requests at the ports between own processes, and odd reports of an
// engine, must end no process.
func TestOddBytesBetweenProcesses(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	random := rand.New(rand.NewPCG(1, 2))
	var addresses []string
	for i := range entries {
		addresses = append(addresses, entryIP(i))
	}
	for i := range engines {
		addresses = append(addresses, engineIP(i))
	}
	for _, ip := range addresses {
		for port := ownPort; port <= ownPort+15; port++ {
			f.sendOdd(random, fmt.Sprint(ip, ":", port))
		}
	}
	for i, value := range oddValues() {
		f.engines[i%engines].SetReport(value)
		<-time.After(50 * time.Millisecond)
	}
	f.engines[0].SetReport([]byte(`{"phase":"both","models":[{"name":"model-1","version":1}],"running":9223372036854775807,"queued":-9,"pace":1e300,"born":1}`))
	f.engines[1].SetReport([]byte(`{"phase":"both","models":[{"name":"model-1","version":1}],"running":-1,"queued":9223372036854775807,"pace":-1e300,"born":1}`))
	<-time.After(time.Second)
	for _, e := range f.engines {
		e.SetReport(nil)
	}
	f.checkAlive()
	f.nameWeights()
	f.eventually("weights on all engines", f.onVersion)
	for n := range 20 {
		c.Check(f.call(n%entries, "/notice/", fmt.Sprint("notice", n)), qt.Equals, 200)
	}
	f.checkFollowed()
}

// sendOdd sends odd datagrams to a port.
func (f *fleet) sendOdd(random *rand.Rand, address string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "udp4", address)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for kind := range 12 {
		for _, value := range [][]byte{nil, []byte("{"), []byte(`{"id":"x","address":"1:99999","notices":[{}],"verdicts":[{}],"suspect":{"engine":"e"}}`), []byte(strings.Repeat("[", 9_000)), bytes.Repeat([]byte{0xff}, 1300)} {
			// A closed port answers with an error, which is fine.
			_, _ = conn.Write(append([]byte{byte(kind)}, value...))
		}
		noise := make([]byte, random.IntN(1400))
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		_, _ = conn.Write(append([]byte{byte(kind)}, noise...))
	}
}
