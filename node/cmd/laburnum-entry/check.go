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

// checkCommand checks documents without publishing them.
type checkCommand struct {
	sourceOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"YAML or JSON documents"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	out := &verdictPrinter{json: c.JSON}
	documents, err := readDocuments(c.Args.Files, out)
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
	for _, input := range documents {
		state = checkDocument(input, state, out)
	}
	return out.close()
}

// checkDocument checks one document and returns the state that its publication
// would lead to. Without a state, only the schema applies.
func checkDocument(input inputDocument, state *settings.State, out *verdictPrinter) *settings.State {
	if state == nil {
		out.addAccepted(input.path, input.doc.Key, "accepted by the schema")
		return nil
	}
	if problems := state.CheckDocument(input.doc); len(problems) > 0 {
		out.addRefused(input.path, input.doc.Key, problems)
		return state
	}
	base, _ := state.Revision(input.doc.Key)
	out.addAccepted(input.path, input.doc.Key, fmt.Sprintf("would be accepted with base %d", base))
	rec := settings.Record{Kind: input.doc.Kind, Key: input.doc.Key, Base: base, Body: input.doc.Body()}
	rec.ID = fmt.Sprintf("check-%d", state.Offset)
	// Encoding can't fail: a record holds only numbers, text and valid JSON.
	data, _ := json.Marshal(rec)
	next, _ := state.Apply(state.Offset+1, data)
	return next
}

// documentVerdict is the verdict on one document.
type documentVerdict struct {
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

// verdictPrinter prints each verdict as text when it is added, or all verdicts as
// one JSON list when the printer is closed.
type verdictPrinter struct {
	json     bool
	verdicts []documentVerdict
	failed   bool
}

func (p *verdictPrinter) add(v documentVerdict) {
	p.failed = p.failed || !v.Accepted
	p.verdicts = append(p.verdicts, v)
	if p.json {
		return
	}
	if len(v.Problems) == 0 {
		fmt.Printf("%s: %s: %s\n", v.File, v.Key, v.Verdict)
	}
	for _, problem := range v.Problems {
		fmt.Printf("%s: refused: %s\n", v.File, problem)
	}
}

func (p *verdictPrinter) addAccepted(path, key, verdict string) {
	p.add(documentVerdict{File: path, Key: key, Accepted: true, Verdict: verdict})
}

func (p *verdictPrinter) addRefused(path, key string, err error) {
	v := documentVerdict{File: path, Key: key, Verdict: "refused: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	var problems settings.Problems
	if errors.As(err, &problems) {
		v.Problems = problems
	}
	p.add(v)
}

// close prints the JSON list if JSON was requested. It returns a failure if any
// document was refused.
func (p *verdictPrinter) close() error {
	if p.json {
		printJSON(p.verdicts)
	}
	if p.failed {
		return &failure{errAlreadyPrinted}
	}
	return nil
}
