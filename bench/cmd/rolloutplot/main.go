// Command rolloutplot draws the replicas over time of measured rollouts.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/bench/rollout"
)

// Size of the drawing in pixels.
const (
	width, height = 760, 440
	left, top     = 60, 40
	plotWidth     = 440
	plotHeight    = 340
	legendStep    = 20
)

var colours = []string{"#1b6ca8", "#c1440e", "#2e7d32", "#7b1fa2", "#b8860b", "#455a64", "#d81b60"}

type config struct {
	Samples string `long:"samples" required:"true" description:"file that BenchmarkRollout wrote to ROLLOUT_SAMPLES"`
	Out     string `long:"out" required:"true" description:"SVG file to write"`
	N       int    `long:"n" default:"40" description:"number of VMs"`
}

func main() {
	var cfg config
	if _, err := flags.Parse(&cfg); err != nil {
		os.Exit(2)
	}
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(cfg config) error {
	curves, err := read(cfg.Samples, cfg.N)
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(cfg.Out, []byte(draw(curves, cfg.N)), 0o644), "writing the drawing")
}

// read returns the last curve of each setting.
func read(path string, n int) ([]rollout.Curve, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "opening samples")
	}
	defer file.Close()
	var curves []rollout.Curve
	places := map[string]int{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var c rollout.Curve
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return nil, eris.Wrap(err, "decoding samples")
		}
		// Curves with faults change the version and start anew.
		if c.N != n || strings.Contains(c.Setting, "faults") {
			continue
		}
		if at, ok := places[c.Setting]; ok {
			curves[at] = c
			continue
		}
		places[c.Setting] = len(curves)
		curves = append(curves, c)
	}
	return curves, eris.Wrap(lines.Err(), "reading samples")
}

func draw(curves []rollout.Curve, n int) string {
	longest := 1.0
	for _, c := range curves {
		for _, s := range c.Samples {
			longest = max(longest, s.At.Seconds())
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", width, height)
	fmt.Fprintf(&b, `<text x="%d" y="20">replicas over time, n=%d</text>`+"\n", left, n)
	fmt.Fprintf(&b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n", left, top, top+plotHeight, left+plotWidth)
	fmt.Fprintf(&b, `<text x="10" y="%d">%d</text><text x="10" y="%d">0</text>`+"\n", top+5, n, top+plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="%d">%.0f s</text>`+"\n", left+plotWidth-20, top+plotHeight+20, longest)
	for i, c := range curves {
		colour := colours[i%len(colours)]
		fmt.Fprintf(&b, `<path d="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", path(c, n, longest), colour)
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", left+plotWidth+20, top+i*legendStep, colour, c.Setting)
	}
	return b.String() + "</svg>\n"
}

// path returns the steps of a curve.
func path(c rollout.Curve, n int, longest float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "M%d %d", left, top+plotHeight)
	for _, s := range c.Samples {
		x := left + s.At.Seconds()/longest*plotWidth
		y := top + plotHeight*(1-float64(s.Replicas)/float64(n))
		fmt.Fprintf(&b, "H%.1fV%.1f", x, y)
	}
	return b.String()
}
