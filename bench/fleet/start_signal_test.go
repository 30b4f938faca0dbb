package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// lastStartSignal is how long after the start of a process the last signal is sent,
	// and startSignalStep the time between two such delays.
	lastStartSignal = 20 * time.Millisecond
	startSignalStep = 500 * time.Microsecond
	// startsOfADelay is the number of starts for each delay.
	startsOfADelay = 3
	// startWindow is how long after its start a SIGHUP may still end a process that is
	// not kept from running: the runtime and the packages before the handler need about a
	// millisecond. On a busy machine the process starts later, so that the time counts
	// that its first thread has run.
	startWindow = 5 * time.Millisecond
)

// endedBy returns the signal that ended a process, or its exit code.
func endedBy(cmd *exec.Cmd) string {
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if ok && status.Signaled() {
		return status.Signal().String()
	}
	return fmt.Sprint("code ", cmd.ProcessState.ExitCode())
}

// ranFor returns how long the first thread of a process has run.
func ranFor(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/schedstat", pid))
	if err != nil {
		return 0
	}
	var ran int64
	_, _ = fmt.Sscan(string(text), &ran)
	return time.Duration(ran)
}

// A SIGHUP just after the start of a process must not end it: the platform sends one
// whenever the settings file has changed, also while it starts a machine.
func TestSighupAtTheStart(t *testing.T) {
	for _, program := range []string{"laburnum-entry", "laburnum-agent"} {
		t.Run(program, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			role := strings.TrimPrefix(program, "laburnum-")
			ip := entryIP(0)
			if role == "agent" {
				ip = engineIP(0)
			}
			path := f.settings(ip, role, 0)
			ended, starts := 0, 0
			var last, lastRan time.Duration
			for delay := time.Duration(0); delay <= lastStartSignal; delay += startSignalStep {
				for range startsOfADelay {
					cmd := f.spawn(program, path)
					begun := time.Now()
					for time.Since(begun) < delay {
					}
					ran := ranFor(cmd.Process.Pid)
					c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
					<-time.After(30 * time.Millisecond)
					_ = cmd.Process.Kill()
					_ = cmd.Wait()
					starts++
					if by := endedBy(cmd); by != syscall.SIGKILL.String() {
						c.Check(by, qt.Equals, syscall.SIGHUP.String())
						ended, last, lastRan = ended+1, delay, max(ran, lastRan)
					}
				}
			}
			c.Logf("%d of %d starts were ended by a SIGHUP, the last %v after the start; their first thread had run %v at most", ended, starts, last, lastRan)
			c.Check(lastRan < startWindow, qt.IsTrue)
		})
	}
}

// startAtSettings starts a program and returns when it is about to read its settings. The
// returned function lets it read them; another file is at their path by then.
func (f *fleet) startAtSettings(program, path, later string) (cmd *exec.Cmd, read func()) {
	text, err := os.ReadFile(path)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(os.Remove(path), qt.IsNil)
	f.c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	cmd = f.spawn(program, path)
	f.c.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	// The open waits for the reader.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(os.WriteFile(path+".new", []byte(strings.Replace(string(text), "graceS: 4", later, 1)), 0o600), qt.IsNil)
	f.c.Assert(os.Rename(path+".new", path), qt.IsNil)
	return cmd, func() {
		_, err := pipe.Write(text)
		f.c.Check(err, qt.IsNil)
		f.c.Check(pipe.Close(), qt.IsNil)
	}
}

// A signal before a process has read its settings must do what it does later: SIGHUP leads to
// a reload, and SIGTERM ends the process with code 0, as nothing was begun.
func TestSignalsBeforeTheSettings(t *testing.T) {
	for _, program := range []string{"laburnum-entry", "laburnum-agent"} {
		role, ip := "entry", entryIP(0)
		if program == "laburnum-agent" {
			role, ip = "agent", engineIP(0)
		}
		t.Run(role+" SIGHUP", func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.listen(storeAddress(), f.store)
			cmd, read := f.startAtSettings(program, f.settings(ip, role, 0), "graceS: 5")
			c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
			<-time.After(20 * time.Millisecond)
			read()
			f.patience = 5 * time.Second
			f.eventually("reload", func() bool { return strings.Contains(f.logs.String(), `"grace_s":5`) })
		})
		t.Run(role+" SIGTERM", func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			cmd, read := f.startAtSettings(program, f.settings(ip, role, 0), "graceS: 4")
			c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			<-time.After(20 * time.Millisecond)
			read()
			begun := time.Now()
			_ = cmd.Wait()
			c.Check(endedBy(cmd), qt.Equals, "code 0")
			c.Check(time.Since(begun) < time.Second, qt.IsTrue)
		})
	}
}

// The handler of these signals must be set before the other packages of a program are
// initialized, which takes some milliseconds. Right after os/signal is the earliest place.
func TestSignalsAreCaughtBeforeOtherPackages(t *testing.T) {
	for _, program := range []string{"laburnum-entry", "laburnum-agent"} {
		c := qt.New(t)
		cmd := exec.Command(filepath.Join(bin, program), "platform")
		cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1", "LABURNUMLOFT_CONFIG="+filepath.Join(c.TempDir(), "none"))
		// The program ends with an error, as there is no settings file.
		out, _ := cmd.CombinedOutput()
		var packages []string
		for line := range strings.Lines(string(out)) {
			if name, ok := strings.CutPrefix(line, "init "); ok {
				packages = append(packages, strings.Fields(name)[0])
			}
		}
		n := slices.Index(packages, "os/signal")
		c.Assert(n >= 0 && n+1 < len(packages), qt.IsTrue, qt.Commentf("%s", out))
		c.Logf("%s: %d of %d packages are initialized before the handler", program, n+1, len(packages))
		c.Check(strings.HasSuffix(packages[n+1], "/node/lib/startsignal"), qt.IsTrue, qt.Commentf("%s", packages[n+1]))
	}
}

// A command that handles no signals must still be ended by them.
func TestSignalsEndCommands(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		c := qt.New(t)
		path := filepath.Join(c.TempDir(), "document")
		c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
		cmd := exec.Command(filepath.Join(bin, "laburnum-entry"), "check", path)
		c.Assert(cmd.Start(), qt.IsNil)
		c.Cleanup(func() { _ = cmd.Process.Kill() })
		// The open waits until the command reads the file.
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(cmd.Process.Signal(sent), qt.IsNil)
		_ = cmd.Wait()
		c.Check(endedBy(cmd), qt.Equals, sent.String())
		c.Check(pipe.Close(), qt.IsNil)
	}
}
