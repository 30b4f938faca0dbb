// Package harness starts the programs and the stand-ins as processes on
// loopback, for fault tests and the demo.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Waiting for a condition.
const (
	pollInterval  = 20 * time.Millisecond
	listenTimeout = 10 * time.Second
)

// Cluster is a set of processes on loopback.
type Cluster struct {
	// Bin is the directory of the built programs.
	Bin string
	// Logs receives the output of all processes.
	Logs                             io.Writer
	LogURL, WeightsURL, MembersURL   string
	processes                        []*Process
	logAddr, weightsAddr, memberAddr string
}

// Process is one started program.
type Process struct {
	Name, Address string
	// Backend is the address of an agent's backend server.
	Backend string
	Cmd     *exec.Cmd
	done    chan struct{}
	program string
	args    []string
}

// Start starts the platform's stand-ins.
func Start(bin string, logs io.Writer) (*Cluster, error) {
	c := &Cluster{Bin: bin, Logs: logs}
	var err error
	if c.logAddr, err = c.standin("log"); err != nil {
		return nil, err
	}
	if c.weightsAddr, err = c.standin("weights"); err != nil {
		return nil, err
	}
	if c.memberAddr, err = c.standin("members"); err != nil {
		return nil, err
	}
	c.LogURL, c.WeightsURL, c.MembersURL = "http://"+c.logAddr, "http://"+c.weightsAddr, "http://"+c.memberAddr
	return c, nil
}

// Close kills all processes and waits for them.
func (c *Cluster) Close() {
	for _, p := range c.processes {
		_ = p.Cmd.Process.Kill()
		<-p.done
	}
}

// Spawn starts a program and waits until it listens on the address.
func (c *Cluster) Spawn(name, address, program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(c.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = c.Logs, c.Logs
	cmd.Env = os.Environ()
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "starting %s", name)
	}
	p := &Process{Name: name, Address: address, Cmd: cmd, done: make(chan struct{}), program: program, args: args}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	c.processes = append(c.processes, p)
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	return p, Until(ctx, func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

func (c *Cluster) standin(role string, args ...string) (string, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", err
	}
	_, err = c.Spawn(role, address, "standin", append([]string{role, "--listen", address}, args...)...)
	return address, err
}

// Entry starts an entry and lists it as a member.
func (c *Cluster) Entry(id, region, zone string, args ...string) (*Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	peer, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	p, err := c.Spawn(id, address, "laburnum-entry", append([]string{
		"serve", "--id", id, "--region", region, "--zone", zone,
		"--listen", address, "--peer-listen", peer, "--log-url", c.LogURL, "--membership-url", c.MembersURL,
	}, args...)...)
	if err != nil {
		return nil, err
	}
	return p, c.List(wire.Member{
		ID: id, Role: wire.RoleEntry, Address: address, PeerAddress: peer, Region: region, Zone: zone, State: wire.MemberLive,
	})
}

// Agent starts a backend server and its agent and lists the agent.
func (c *Cluster) Agent(id, region, zone, service, kind string, args ...string) (*Process, error) {
	backend, err := c.standin(kind)
	if err != nil {
		return nil, err
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	p, err := c.Spawn(id, address, "laburnum-agent", append([]string{
		"--id", id, "--region", region, "--zone", zone, "--listen", address, "--service", service, "--kind", kind,
		"--backend-url", "http://" + backend, "--weights-url", c.WeightsURL, "--membership-url", c.MembersURL,
	}, args...)...)
	if err != nil {
		return nil, err
	}
	p.Backend = backend
	return p, c.List(wire.Member{
		ID: id, Role: wire.RoleAgent, Address: address, Region: region, Zone: zone, Service: service, State: wire.MemberLive,
	})
}

// List puts a member on the platform's list.
func (c *Cluster) List(m wire.Member) error {
	return PostJSON(c.MembersURL+"/v1/members", m, nil)
}

// AddVersion makes a version in the weight store and returns the digest of
// its manifest.
func (c *Cluster) AddVersion(model, version string, size, chunkSize int) (string, error) {
	var answer struct {
		Manifest string `json:"manifest"`
	}
	url := fmt.Sprintf("%s/v1/models/%s/versions/%s?size=%d&chunk_size=%d&seed=%d", c.WeightsURL, model, version, size, chunkSize, len(version)+int(version[len(version)-1]))
	err := PostJSON(url, struct{}{}, &answer)
	return answer.Manifest, err
}

// Ports of the processes. They lie below the range from which the system takes
// the ports of outgoing connections; one of those can hold a port between its
// choice and the start of the program.
const (
	firstPort    = 20_000
	portCount    = 12_000
	portAttempts = 100
	// portBlocks keeps test programs that run at the same time apart.
	portBlocks = 40
)

// nextPort counts the ports that this program has chosen. A port is not
// chosen twice until all have been: the program that gets it may not listen
// on it yet.
var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()%portBlocks) * (portCount / portBlocks))
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	var err error
	for range portAttempts {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", eris.Wrap(err, "finding a free port")
}

// PostJSON posts a JSON body and decodes the answer.
func PostJSON(url string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encoding a request")
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "posting")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return eris.Errorf("status %d from %s", resp.StatusCode, url)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Until polls a condition until it holds or ctx ends.
func Until(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
