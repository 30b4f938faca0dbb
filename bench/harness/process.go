package harness

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Kill ends the process as a dying VM does and waits for its end.
func (p *Process) Kill() error {
	if err := p.Cmd.Process.Kill(); err != nil {
		return eris.Wrapf(err, "killing %s", p.Name)
	}
	<-p.done
	return nil
}

// Stop pauses the process and waits until all its threads stand still. A thread that
// runs when the signal is sent goes on for a moment, long enough to serve a request.
func (p *Process) Stop() error {
	if err := p.Cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return eris.Wrapf(err, "stopping %s", p.Name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	return eris.Wrapf(Until(ctx, p.stopped), "waiting for %s to stop", p.Name)
}

// stopped reports whether all threads of the process are stopped.
func (p *Process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			// The thread has ended.
			continue
		}
		// The state follows the name, which is in parentheses.
		_, rest, _ := bytes.Cut(stat, []byte(") "))
		if !bytes.HasPrefix(rest, []byte("T")) {
			return false
		}
	}
	return true
}

// Continue resumes a paused process.
func (p *Process) Continue() error {
	return eris.Wrapf(p.Cmd.Process.Signal(syscall.SIGCONT), "continuing %s", p.Name)
}

// Find returns the latest process that was started at the address.
func (c *Cluster) Find(address string) *Process {
	for i := len(c.processes) - 1; i >= 0; i-- {
		if c.processes[i].Address == address {
			return c.processes[i]
		}
	}
	return nil
}

// Named returns the latest process with the name.
func (c *Cluster) Named(name string) *Process {
	for i := len(c.processes) - 1; i >= 0; i-- {
		if c.processes[i].Name == name {
			return c.processes[i]
		}
	}
	return nil
}

// Restart starts a new process with the arguments and the address of one
// that has ended.
func (c *Cluster) Restart(p *Process) (*Process, error) {
	<-p.done
	again, err := c.Spawn(p.Name, p.Address, p.program, p.args...)
	if err != nil {
		return nil, err
	}
	again.Backend = p.Backend
	return again, nil
}
