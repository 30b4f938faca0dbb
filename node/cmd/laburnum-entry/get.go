package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/options"
)

const (
	getHelp = "Prints the document of KEY in the form that publish reads, with its revision in a comment. " +
		"With --log-url it comes from the end of the log, otherwise from the settings in force at --entry. " +
		"Without KEY all keys are listed." + exitCodes
	historyHelp = "Lists the records of KEY that the log keeps, with their verdicts, oldest first." + exitCodes
)

// getCommand prints one document, or lists all keys.
type getCommand struct {
	sourceOptions
	Args struct {
		Key string `positional-arg-name:"KEY" description:"template/NAME or parameters/WORKSPACE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute(args []string) error {
	if err := options.FirstError(options.NoArguments(args), c.checkLogOrEntry()); err != nil {
		return err
	}
	if c.Args.Key != "" {
		if err := checkKey(c.Args.Key); err != nil {
			return err
		}
	}
	ctx, cancel := c.context()
	defer cancel()
	state, err := c.client().State(ctx)
	if err != nil {
		return &failure{err}
	}
	if c.Args.Key == "" {
		c.list(state.Keys())
		return nil
	}
	doc, offset, recordID := state.Document(c.Args.Key)
	if doc == nil {
		return &failure{eris.Errorf("%s does not exist at offset %d", c.Args.Key, state.Offset)}
	}
	if c.JSON {
		printJSON(struct {
			Key      string          `json:"key"`
			Offset   int64           `json:"offset"`
			RecordID string          `json:"record_id"`
			Document json.RawMessage `json:"document"`
		}{c.Args.Key, offset, recordID, doc.Body()})
		return nil
	}
	fmt.Printf("# revision %d, record %s\n%s", offset, recordID, doc.FormatFile())
	return nil
}

func (c *getCommand) list(keys []string) {
	if c.JSON {
		printJSON(keys)
		return
	}
	for _, key := range keys {
		fmt.Println(key)
	}
}

// historyCommand lists the records of one document.
type historyCommand struct {
	sourceOptions
	Limit int `long:"limit" default:"100" description:"largest number of records, the latest ones"`
	Args  struct {
		Key string `positional-arg-name:"KEY" required:"true" description:"template/NAME or parameters/WORKSPACE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute(args []string) error {
	err := options.FirstError(options.NoArguments(args), c.checkLog(), options.Positive("limit", c.Limit), checkKey(c.Args.Key))
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	revisions, err := c.client().History(ctx, c.Args.Key, c.Limit)
	if err != nil {
		return &failure{err}
	}
	if c.JSON {
		printJSON(revisions)
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "OFFSET\tTIME\tBASE\tRECORD\tVERDICT")
	for _, r := range revisions {
		verdict := "unknown: before the snapshot"
		if r.Verdict != nil && r.Verdict.Accepted {
			verdict = "accepted"
		} else if r.Verdict != nil {
			verdict = "refused: " + r.Verdict.Reason
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\n", r.Offset, time.UnixMilli(r.TimeMS).UTC().Format(time.RFC3339), r.Base, r.RecordID, verdict)
	}
	return table.Flush()
}
