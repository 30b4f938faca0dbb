// Command demo runs the whole system on loopback, as separate processes, and
// checks what callers see: a rollout, a streamed request, a booking, and a
// second version under live requests.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/operator"
)

// Sizes and limits of the demo.
const (
	timeLimit     = 55 * time.Second
	versionBytes  = 16 << 20
	chunkBytes    = 256 << 10
	enginesInZone = 2
	liveCallers   = 8
)

// regions are those of Tromba Serrana, whose settings the demo uses.
var regions = []string{"norte", "centro", "sul"}

// demo is one run.
type demo struct {
	ctx      context.Context
	cluster  *harness.Cluster
	entries  []*harness.Process
	desks    []*harness.Process
	operator *operator.Client
	failed   bool
}

func main() {
	var cfg struct {
		Bin      string `long:"bin" default:"bin" description:"directory of the programs"`
		Settings string `long:"settings" default:"examples/tromba-serrana" description:"directory with template.yaml and parameters.yaml"`
		Logs     string `long:"logs" description:"file for the output of all processes"`
	}
	if _, err := flags.Parse(&cfg); err != nil {
		os.Exit(2)
	}
	if err := run(cfg.Bin, cfg.Settings, cfg.Logs); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("all expectations held")
}

func run(bin, settingsDir, logs string) error {
	output := io.Discard
	if logs != "" {
		file, err := os.Create(logs)
		if err != nil {
			return eris.Wrap(err, "creating the log file")
		}
		defer file.Close()
		output = file
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	cluster, err := harness.Start(bin, output)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{ctx: ctx, cluster: cluster}
	begun := time.Now()
	if err := d.start(); err != nil {
		return err
	}
	if err := d.steps(settingsDir); err != nil {
		return err
	}
	fmt.Printf("ended after %.1f s\n", time.Since(begun).Seconds())
	if d.failed {
		return eris.New("an expectation did not hold")
	}
	return nil
}

// start starts an entry in each region, and the backend servers.
func (d *demo) start() error {
	for i, region := range regions {
		zone := region + "-a"
		entry, err := d.cluster.Entry(fmt.Sprintf("entry-%d", i+1), region, zone)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
		for j := range enginesInZone {
			id := fmt.Sprintf("tutor-%s-%d", region, j+1)
			if _, err := d.cluster.Agent(id, region, zone, "laburnum-tutors", "engine"); err != nil {
				return err
			}
		}
		desk, err := d.cluster.Agent("desk-"+region, region, zone, "lesson-desk", "plain")
		if err != nil {
			return err
		}
		d.desks = append(d.desks, desk)
	}
	if _, err := d.cluster.Agent("studio", "norte", "norte-a", "studio-misc", "plain"); err != nil {
		return err
	}
	d.operator = operator.New(d.cluster.LogURL, "http://"+d.entries[0].Address)
	fmt.Printf("started %d entries and %d agents in %d regions\n", len(d.entries), len(regions)*(enginesInZone+1)+1, len(regions))
	return nil
}

func (d *demo) steps(settingsDir string) error {
	docs, err := readSettings(settingsDir)
	if err != nil {
		return err
	}
	if err := d.rollOut(docs, "v1"); err != nil {
		return err
	}
	if err := d.streamedRequest("v1"); err != nil {
		return err
	}
	if err := d.booking(); err != nil {
		return err
	}
	live := d.startLive()
	err = d.rollOut(docs[:1], "v2")
	live.stop()
	if err != nil {
		return err
	}
	d.report(live)
	return d.streamedRequest("v2")
}

// expect prints an expectation and whether it held.
func (d *demo) expect(held bool, format string, args ...any) {
	mark := "ok"
	if !held {
		mark = "NOT MET"
		d.failed = true
	}
	fmt.Printf("  [%s] %s\n", mark, fmt.Sprintf(format, args...))
}
