package harness

import (
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

// Stop pauses the process.
func (p *Process) Stop() error {
	return eris.Wrapf(p.Cmd.Process.Signal(syscall.SIGSTOP), "stopping %s", p.Name)
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
