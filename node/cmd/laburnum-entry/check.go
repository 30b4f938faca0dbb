package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/laburnumloft/laburnumloft/core/settings"
)

const checkHelp = "Checks the documents in the files and prints the verdict that a publication would have. " +
	"With --log-url they are checked against the settings at the end of the log, with --entry against those in force at that entry, " +
	"with neither by the schema alone. Several files are checked as if published in the given order." + exitCodes

// checkCommand checks documents.
type checkCommand struct {
	sources
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"YAML or JSON documents"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	out := &printer{json: c.JSON}
	files, err := readFiles(c.Args.Files, out)
	if err != nil {
		return err
	}
	var state *settings.State
	if c.Entry != "" || c.LogURL != "" {
		ctx, cancel := c.context()
		defer cancel()
		if state, err = c.client().State(ctx); err != nil {
			return &failure{err}
		}
	}
	for _, f := range files {
		state = checkFile(f, state, out)
	}
	return out.close()
}

// checkFile checks one document and returns the state as if it had been
// published.
func checkFile(f file, state *settings.State, out *printer) *settings.State {
	if state == nil {
		out.accepted(f.path, f.doc.Key, "accepted by the schema")
		return nil
	}
	if problems := state.CheckDocument(f.doc); len(problems) > 0 {
		out.refused(f.path, f.doc.Key, problems)
		return state
	}
	base, _ := state.Revision(f.doc.Key)
	out.accepted(f.path, f.doc.Key, fmt.Sprintf("would be accepted with base %d", base))
	rec := settings.Record{Kind: f.doc.Kind, Key: f.doc.Key, Base: base, Body: f.doc.Body()}
	rec.ID = fmt.Sprintf("check-%d", state.Offset)
	// A record holds only numbers, text and valid JSON, which always encode.
	data, _ := json.Marshal(rec)
	next, _ := state.Apply(state.Offset+1, data)
	return next
}

// line is the verdict on one document.
type line struct {
	File     string            `json:"file"`
	Key      string            `json:"key,omitempty"`
	Accepted bool              `json:"accepted"`
	Verdict  string            `json:"verdict"`
	Problems settings.Problems `json:"problems,omitempty"`
	// Offset, RecordID and Winner are set for published documents.
	Offset   int64  `json:"offset,omitempty"`
	RecordID string `json:"record_id,omitempty"`
	Winner   string `json:"winner,omitempty"`
}

// printer prints verdicts as text at once, or as one JSON list at the end.
type printer struct {
	json   bool
	lines  []line
	failed bool
}

func (p *printer) add(l line) {
	p.failed = p.failed || !l.Accepted
	p.lines = append(p.lines, l)
	if p.json {
		return
	}
	if len(l.Problems) == 0 {
		fmt.Printf("%s: %s: %s\n", l.File, l.Key, l.Verdict)
	}
	for _, problem := range l.Problems {
		fmt.Printf("%s: refused: %s\n", l.File, problem)
	}
}

func (p *printer) accepted(path, key, verdict string) {
	p.add(line{File: path, Key: key, Accepted: true, Verdict: verdict})
}

func (p *printer) refused(path, key string, err error) {
	l := line{File: path, Key: key, Verdict: "refused: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	var problems settings.Problems
	if errors.As(err, &problems) {
		l.Problems = problems
	}
	p.add(l)
}

// close prints the JSON and returns the result of the command.
func (p *printer) close() error {
	if p.json {
		printJSON(p.lines)
	}
	if p.failed {
		return &failure{errReported}
	}
	return nil
}
