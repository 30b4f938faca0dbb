package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/logservice"
)

// TestRacingOperators guards against two operators who both believe that
// their change of the same revision is in force.
func TestRacingOperators(t *testing.T) {
	s := start(t)
	s.publishBasics()
	entries := []*harness.Process{s.entry("entry-1"), s.entry("entry-2")}
	const operators = 8
	results := make([][]verdict, operators)
	codes := make([]int, operators)
	var running sync.WaitGroup
	for i := range operators {
		file := s.write(parameters("ana") + fmt.Sprintf("share: %d\n", i+1))
		running.Go(func() { results[i], codes[i] = s.publish(file, "--base", "2") })
	}
	running.Wait()
	winner := ""
	for i, code := range codes {
		s.c.Assert(results[i], qt.HasLen, 1)
		if code == 0 {
			s.c.Assert(winner, qt.Equals, "", qt.Commentf("two operators won"))
			winner = results[i][0].RecordID
		}
	}
	s.c.Assert(winner, qt.Not(qt.Equals), "")
	for i, code := range codes {
		if code != 0 {
			s.c.Assert(results[i][0].Winner, qt.Equals, winner)
		}
	}
	digests := map[string]bool{}
	for _, e := range entries {
		answer := s.reaches(e, 3+operators)
		s.c.Assert(string(answer.State), qt.Contains, winner)
		digests[answer.Digest] = true
	}
	s.c.Assert(digests, qt.HasLen, 1)
}

// TestLostAppendAnswer guards against a change that is published twice, or
// reported as failed although it is in force.
func TestLostAppendAnswer(t *testing.T) {
	s := start(t)
	s.publishBasics()
	s.faults(faults.Switches{Method: "POST", LoseAnswers: 1})
	verdicts, code := s.publish(s.write(parameters("ana") + "share: 5\n"))
	s.c.Assert(code, qt.Equals, 0)
	s.c.Assert(verdicts[0].Offset, qt.Equals, int64(4))
	_, next := s.logEnds()
	s.c.Assert(next, qt.Equals, int64(5))
}

// TestUnsettledAppend guards against a verdict that is claimed while the log
// gives none, and against a second effect when the attempt is settled later.
func TestUnsettledAppend(t *testing.T) {
	s := start(t)
	s.publishBasics()
	s.faults(faults.Switches{Method: "POST", Down: true})
	file := s.write(parameters("ana") + "share: 5\n")
	out, code := s.command("publish", "--log-url", s.LogURL, "--timeout", "2s", "--id", "attempt-1", file)
	s.c.Assert(code, qt.Equals, 1)
	s.c.Assert(out, qt.Contains, "record attempt-1")
	s.faults(faults.Switches{})
	for range 2 {
		verdicts, code := s.publish(file, "--id", "attempt-1")
		s.c.Assert(code, qt.Equals, 0)
		s.c.Assert(verdicts[0].Offset, qt.Equals, int64(4))
	}
}

// TestLogDownLongerThanRetention guards against the loss of settings that
// only live processes still hold after the log has dropped its records.
func TestLogDownLongerThanRetention(t *testing.T) {
	s := start(t)
	s.publishBasics()
	// The wait before a snapshot is at most a sixteenth of the retention.
	first := s.entry("entry-1", "--log-retention", "8s")
	before := s.reaches(first, 3)
	s.faults(faults.Switches{Down: true})
	s.expire(4)
	s.c.Assert(s.inForce(first).Digest, qt.Equals, before.Digest)
	s.faults(faults.Switches{})
	s.until(func() bool { _, next := s.logEnds(); return next > 4 }, "a snapshot in the log")

	// A new entry without peers must find everything in the log.
	s.c.Assert(first.Cmd.Process.Kill(), qt.IsNil)
	<-first.Done()
	second := s.entry("entry-2")
	after := s.reaches(second, 4)
	for _, name := range []string{"lessons", "ana", "budi"} {
		s.c.Assert(string(after.State), qt.Contains, `"`+name+`"`)
	}
	verdicts, code := s.publish(s.write(parameters("ana") + "share: 5\n"))
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%v", verdicts))
	s.reaches(second, verdicts[0].Offset)
}

// TestRecoverAfterGap guards against a system that stays without changes for
// ever because records expired that no process had read, and against a
// recovery that replaces settings which are not lost.
func TestRecoverAfterGap(t *testing.T) {
	s := start(t)
	s.publishBasics()
	entry := s.entry("entry-1", "--log-retention", "8s")
	before := s.reaches(entry, 3)
	out, code := s.command("recover", "--log-url", s.LogURL)
	s.c.Assert(code, qt.Equals, 1, qt.Commentf("%s", out))
	s.faults(faults.Switches{Method: "GET", Down: true})
	// A poll that was held when the log went down still gets records.
	s.until(func() bool {
		var vars struct {
			Settings map[string]int `json:"settings_total"`
		}
		s.getJSON("http://"+entry.Address+"/debug/vars", &vars)
		return vars.Settings["log_failures"] > 0
	}, "a failed read of the log")
	for i := range 2 {
		record := map[string]any{"id": fmt.Sprint("lost-", i), "kind": "template", "key": "template/lessons", "base": 1, "body": map[string]any{}}
		s.c.Assert(harness.PostJSON(s.LogURL+"/v1/streams/settings/records", record, nil), qt.IsNil)
	}
	s.expire(6)
	s.faults(faults.Switches{})
	file := s.write(parameters("ana") + "share: 5\n")
	out, code = s.command("recover", "--log-url", s.LogURL, "--entry", "http://"+entry.Address)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	verdicts, code := s.publish(file)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%v", verdicts))
	after := s.reaches(entry, verdicts[0].Offset)
	s.c.Assert(string(after.State), qt.Contains, `"share":5`)
	s.c.Assert(before.Offset < after.Offset, qt.IsTrue)
}

// TestLogRestoredFromACopy guards against settings that go back, or are replaced by
// records which stand at offsets that the log gives out again after it came back from a
// copy, and against a system that can't be used again after that.
func TestLogRestoredFromACopy(t *testing.T) {
	s := start(t)
	s.publishBasics()
	entry := s.entry("entry-1")
	s.reaches(entry, 3)
	file := s.write(parameters("ana") + "share: 5\n")
	verdicts, code := s.publish(file)
	s.c.Assert(code, qt.Equals, 0)
	before := s.reaches(entry, verdicts[0].Offset)
	s.c.Assert(string(before.State), qt.Contains, `"share":5`)
	s.restore(verdicts[0].Offset)
	// These stand where the lost record stood, and above it.
	for i := range 3 {
		record := map[string]any{"id": fmt.Sprint("new-era-", i), "kind": "parameters", "key": "parameters/ana", "base": 3, "body": map[string]any{"workspace": "ana", "template": "lessons", "share": 2}}
		s.c.Assert(harness.PostJSON(s.LogURL+"/v1/streams/settings/records", record, nil), qt.IsNil)
	}
	second := s.entry("entry-2")
	s.until(func() bool { return s.inForce(second).Offset >= before.Offset }, "settings at an entry that starts")
	for _, p := range []*harness.Process{entry, second} {
		s.c.Assert(string(s.inForce(p).State), qt.Contains, `"share":5`)
	}
	out, code := s.command("publish", "--log-url", s.LogURL, file)
	s.c.Assert(code, qt.Equals, 1, qt.Commentf("published on a copy: %s", out))
	out, code = s.command("recover", "--log-url", s.LogURL, "--entry", "http://"+entry.Address)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	verdicts, code = s.publish(s.write(parameters("ana") + "share: 7\n"))
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%v", verdicts))
	s.c.Assert(verdicts[0].Offset > before.Offset, qt.IsTrue)
	for _, p := range []*harness.Process{entry, second} {
		s.c.Assert(string(s.reaches(p, verdicts[0].Offset).State), qt.Contains, `"share":7`)
	}
}

// TestRecoverAfterTotalLoss guards against a system that can't be used again
// after all processes were lost and the log has dropped all records.
func TestRecoverAfterTotalLoss(t *testing.T) {
	s := start(t)
	s.publishBasics()
	s.expire(4)
	out, code := s.command("publish", "--log-url", s.LogURL, s.write(plainTemplate))
	s.c.Assert(code, qt.Equals, 1)
	s.c.Assert(out, qt.Contains, "no usable snapshot")
	_, code = s.command("recover", "--log-url", s.LogURL)
	s.c.Assert(code, qt.Equals, 0)
	verdicts, code := s.publish(s.write(plainTemplate))
	s.c.Assert(code, qt.Equals, 0)
	entry := s.entry("entry-1")
	s.reaches(entry, verdicts[0].Offset)
}

// TestStartWhileLogIsDown guards against a process that starts with empty
// settings, or never, because the log does not answer.
func TestStartWhileLogIsDown(t *testing.T) {
	s := start(t)
	s.publishBasics()
	first := s.entry("entry-1")
	want := s.reaches(first, 3)
	s.faults(faults.Switches{Down: true})
	second := s.entry("entry-2")
	s.c.Assert(s.reaches(second, 3).Digest, qt.Equals, want.Digest)
	agent, err := s.Agent("agent-1", "norte", "norte-a", "lesson-desk", "plain", "--log-level", "warn")
	s.c.Assert(err, qt.IsNil)
	s.until(func() bool {
		var status struct {
			Services []wire.ServiceStatus `json:"services"`
		}
		s.getJSON("http://"+second.Address+"/v1/status", &status)
		return len(status.Services) == 1 && status.Services[0].Agents == 1 && status.Services[0].Behind == 0
	}, "settings at "+agent.Name)
}

// TestEntryCutOffFromLog guards against settings that stay old at an entry
// whose own way to the log is stalled while other entries go on.
func TestEntryCutOffFromLog(t *testing.T) {
	s := start(t)
	s.publishBasics()
	first := s.entry("entry-1")
	s.reaches(first, 3)
	address, err := harness.FreeAddress()
	s.c.Assert(err, qt.IsNil)
	_, err = s.Spawn("stalled-log", address, "standin", "log", "--listen", address)
	s.c.Assert(err, qt.IsNil)
	stalled := "http://" + address
	s.c.Assert(harness.PostJSON(stalled+"/faults", faults.Switches{PathPrefix: logFaults, Stall: true}, nil), qt.IsNil)
	second := s.entry("entry-2", "--log-url", stalled)
	s.reaches(second, 3)
	for offset := int64(4); offset < 7; offset++ {
		_, code := s.publish(s.write(parameters("ana") + fmt.Sprintf("share: %d\n", offset)))
		s.c.Assert(code, qt.Equals, 0)
		s.reaches(second, offset)
	}
	s.c.Assert(s.inForce(second).Digest, qt.Equals, s.inForce(first).Digest)
}

// TestStatusWaits guards against a fleet that is called converged although
// an agent has old settings, and against a wait that never ends.
func TestStatusWaits(t *testing.T) {
	s := start(t)
	s.publishBasics()
	entry := s.entry("entry-1")
	url := "http://" + entry.Address
	out, code := s.command("status", "--entry", url, "--wait", "--timeout", "1s")
	s.c.Assert(code, qt.Equals, 1)
	s.c.Assert(out, qt.Contains, "0 of 0")
	_, err := s.Agent("agent-1", "norte", "norte-a", "lesson-desk", "plain", "--log-level", "warn")
	s.c.Assert(err, qt.IsNil)
	out, code = s.command("status", "--entry", url, "--wait", "--timeout", "60s")
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	s.c.Assert(out, qt.Contains, "1 of 1")
}

// TestWrongUsage guards against commands that start with a setting that they
// can't use, and against messages that do not name it.
func TestWrongUsage(t *testing.T) {
	s := start(t)
	file := s.write(plainTemplate)
	for want, args := range map[string][]string{
		`--log-url has value "ftp://x"; allowed: an http or https URL`: {"publish", "--log-url", "ftp://x", file},
		`--log-url has value ""; allowed: an http or https URL`:        {"history", "template/lessons"},
		`--base has value "-2"; allowed: -1 or an offset`:              {"publish", "--log-url", s.LogURL, "--base=-2", file},
		`--timeout has value "0s"; allowed: values above zero`:         {"check", "--timeout", "0s", file},
		`argument KEY has value "lessons"; allowed: template/NAME`:     {"get", "--log-url", s.LogURL, "lessons"},
		`argument FILE has value "/nosuch"; allowed: a readable file`:  {"check", "/nosuch"},
		`--entry has value ""; allowed: an http or https URL`:          {"status"},
		`required argument`: {"publish", "--log-url", s.LogURL},
	} {
		out, code := s.command(args...)
		s.c.Check(code, qt.Equals, 2, qt.Commentf("%v", args))
		s.c.Check(out, qt.Contains, want)
		s.c.Check(strings.Count(out, "\n"), qt.Equals, 1)
	}
	out, code := s.command("publish", "--help")
	s.c.Check(code, qt.Equals, 0)
	s.c.Check(strings.Join(strings.Fields(out), " "), qt.Contains, "Exit codes: 0 done, 1 refused or failed, 2 wrong usage.")
}

// TestOldTail guards against settings that revert when a lagging log replica
// answers, at a running entry and at one that starts.
func TestOldTail(t *testing.T) {
	s := start(t)
	s.publishBasics()
	first := s.entry("entry-1")
	want := s.reaches(first, 3)
	s.control(logservice.Control{OldTail: 2})
	second := s.entry("entry-2")
	var seen wire.Settings
	s.until(func() bool { seen = s.inForce(second); return seen.Offset > 0 }, "first settings")
	s.c.Assert(seen.Digest, qt.Equals, want.Digest)
	s.c.Assert(s.inForce(first).Digest, qt.Equals, want.Digest)
	s.control(logservice.Control{OldTail: 4, OldTailEvery: 2})
	verdicts, code := s.publish(s.write(parameters("ana") + "share: 5\n"))
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%v", verdicts))
	s.reaches(first, 4)
	s.reaches(second, 4)
}

// TestRateLimitedLog guards against a publication that is lost or doubled
// when the log refuses appends for their rate.
func TestRateLimitedLog(t *testing.T) {
	s := start(t)
	s.control(logservice.Control{AppendsPerSecond: 2})
	s.publishBasics()
	_, next := s.logEnds()
	s.c.Assert(next, qt.Equals, int64(4))
}

// TestExamples guards against example documents that the system refuses.
func TestExamples(t *testing.T) {
	for _, name := range []string{"priangan-raya", "tromba-serrana"} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			dir := "../../examples/" + name + "/"
			files, err := os.ReadDir(dir)
			s.c.Assert(err, qt.IsNil)
			args := []string{"check", "--json", "--log-url", s.LogURL, dir + "template.yaml"}
			for _, f := range files {
				if strings.HasPrefix(f.Name(), "parameters") {
					args = append(args, dir+f.Name())
				}
			}
			out, code := s.command(args...)
			s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
			args[0] = "publish"
			out, code = s.command(args...)
			s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
			var verdicts []verdict
			s.c.Assert(json.Unmarshal([]byte(out), &verdicts), qt.IsNil)
			s.c.Assert(len(verdicts) >= 11, qt.IsTrue)
			entry := s.entry("entry-1")
			s.reaches(entry, int64(len(verdicts)))
		})
	}
}
