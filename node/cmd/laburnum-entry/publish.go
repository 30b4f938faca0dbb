package main

import (
	"fmt"

	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/operator"
)

const publishHelp = "Publishes the documents in the given order and returns after the verdict on each was read back from the log. " +
	"Stops at the first document that is refused. A document that lost a race is refused, and the winner's record is named. " +
	"If the verdict is unknown at the end of --timeout, the record id is printed; publish --id ID settles that attempt." + exitCodes

// publishCommand publishes documents in the given order.
type publishCommand struct {
	sourceOptions
	Base int64  `long:"base" default:"-1" description:"offset of the revision to replace, 0 for none; -1 for the one that the log shows"`
	ID   string `long:"id" description:"record id of an earlier attempt"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"YAML or JSON documents"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	if err := c.checkLog(); err != nil {
		return err
	}
	if c.Base < -1 {
		return &options.Invalid{Name: "base", Value: fmt.Sprint(c.Base), Allowed: "-1 or an offset"}
	}
	out := &verdictPrinter{json: c.JSON}
	documents, err := readDocuments(c.Args.Files, out)
	if err != nil {
		return err
	}
	if len(documents) > 1 && (c.Base >= 0 || c.ID != "") {
		return &options.Invalid{Name: "base", Value: fmt.Sprint(c.Base), Allowed: "--base and --id with a single document"}
	}
	client := c.client()
	for _, input := range documents {
		// A document is published only if all files were parsed and all earlier
		// documents were accepted.
		if out.failed {
			break
		}
		if err := c.publish(client, input, out); err != nil {
			_ = out.close()
			return &failure{err}
		}
	}
	return out.close()
}

func (c *publishCommand) publish(client *operator.Client, input inputDocument, out *verdictPrinter) error {
	ctx, cancel := c.context()
	defer cancel()
	p, err := client.Publish(ctx, operator.Change{Document: input.doc, Base: c.Base, ID: c.ID})
	if err != nil {
		return err
	}
	switch {
	case len(p.Problems) > 0:
		out.addRefused(input.path, p.Key, p.Problems)
	case p.Accepted():
		out.add(documentVerdict{
			File: input.path, Key: p.Key, Accepted: true, Offset: p.Verdict.Offset, RecordID: p.RecordID,
			Verdict: fmt.Sprintf("accepted at offset %d (record %s)", p.Verdict.Offset, p.RecordID),
		})
	default:
		text := fmt.Sprintf("refused at offset %d: %s", p.Verdict.Offset, p.Verdict.Reason)
		if p.Verdict.Winner != "" {
			text += "; winner is record " + p.Verdict.Winner
		}
		out.add(documentVerdict{
			File: input.path, Key: p.Key, Verdict: text, Offset: p.Verdict.Offset,
			RecordID: p.RecordID, Winner: p.Verdict.Winner,
		})
	}
	return nil
}
