package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
)

const explainHelp = "With ID, reads log lines of any number of processes on standard input and prints what decided one request, in order. " +
	"With --entry, asks an entry where a request would go now and why, without sending it: the servers with their estimated load, the reason for each excluded one, " +
	"the place among the waiting requests and the time to return." + exitCodes

// explainCommand explains a decision: one that was made, from logs, or one that an entry
// would make now.
type explainCommand struct {
	Entry     string        `long:"entry" description:"IP:PORT of an entry for operators or own processes"`
	Host      string        `long:"host" description:"host of the request"`
	Path      string        `long:"path" description:"path of the request, encoded"`
	Workspace string        `long:"workspace" description:"name of the caller's workspace"`
	RequestID string        `long:"id" description:"id of the request; it decides between the services of a route"`
	Model     string        `long:"model" description:"model that the request names"`
	Tokens    string        `long:"tokens" description:"PROMPT,OUTPUT or PROMPT,OUTPUT,HINT: the request's size in tokens, at most and by the caller's hint"`
	Deadline  time.Duration `long:"deadline" description:"how long the caller waits; 0 means as long as the route allows"`
	Output    string        `long:"output" default:"text" description:"text or json"`
	Args      struct {
		ID string `positional-arg-name:"ID" description:"id of a request in logs"`
	} `positional-args:"yes"`
}

var (
	errUnknownRequest = errors.New("no line of this request; routine lines of answered requests are sampled")
	errEntryAnswer    = eris.New("the entry did not explain the choice")
)

// explainTimeout limits a question to an entry.
const explainTimeout = 5 * time.Second

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := options.NoArguments(args); err != nil {
		return err
	}
	if c.Entry != "" {
		return c.explainChoice()
	}
	if c.Args.ID == "" {
		return &options.Invalid{Name: "entry", Value: "", Allowed: "IP:PORT, or the ID of a request in logs on standard input"}
	}
	found, err := decision.Explain(os.Stdin, os.Stdout, c.Args.ID)
	if err == nil && !found {
		err = errUnknownRequest
	}
	if err != nil {
		return &failure{err}
	}
	return nil
}

func (c *explainCommand) explainChoice() error {
	q, err := c.question()
	if err != nil {
		return err
	}
	answer, err := askEntry(c.Entry, q)
	if err != nil {
		return &failure{err}
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(answer)
	} else {
		err = writeChoice(os.Stdout, q, answer)
	}
	if err != nil {
		return &failure{err}
	}
	return nil
}

// question returns the question that the options describe, or the error for the first
// invalid one.
func (c *explainCommand) question() (gateway.ChoiceQuestion, error) {
	q := gateway.ChoiceQuestion{Host: c.Host, Path: c.Path, Workspace: c.Workspace, ID: c.RequestID, Model: c.Model, DeadlineMS: c.Deadline.Milliseconds()}
	err := options.FirstError(
		options.Address("entry", c.Entry),
		options.OneOf("output", c.Output, "text", "json"),
		required("host", c.Host), required("path", c.Path),
		options.AtLeast("deadline", c.Deadline, 0),
	)
	if err == nil && !strings.HasPrefix(c.Path, "/") {
		err = &options.Invalid{Name: "path", Value: c.Path, Allowed: "a path that begins with a slash"}
	}
	if err != nil || c.Tokens == "" {
		return q, err
	}
	texts, numbers := strings.Split(c.Tokens, ","), []*int{&q.PromptTokens, &q.OutputTokens, &q.LengthHint}
	invalid := &options.Invalid{Name: "tokens", Value: c.Tokens, Allowed: "PROMPT,OUTPUT or PROMPT,OUTPUT,HINT, numbers"}
	if len(texts) < 2 || len(texts) > len(numbers) {
		return q, invalid
	}
	for i, text := range texts {
		if *numbers[i], err = strconv.Atoi(strings.TrimSpace(text)); err != nil || *numbers[i] < 0 {
			return q, invalid
		}
	}
	return q, nil
}

func required(name, value string) error {
	if value == "" {
		return &options.Invalid{Name: name, Value: value, Allowed: "a value, with --entry"}
	}
	return nil
}

// askEntry asks an entry where a request would go.
func askEntry(address string, q gateway.ChoiceQuestion) (answer gateway.ChoiceAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get(gateway.ChoicePath).QueryStruct(&q).Request()
	if err != nil {
		return answer, eris.Wrap(err, "building the question")
	}
	client := &http.Client{Transport: response.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return answer, eris.Wrap(err, "asking the entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: status %d", errEntryAnswer, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, eris.Wrap(err, "reading the entry's answer")
	}
	return answer, nil
}

// writeChoice prints an answer for people.
func writeChoice(out io.Writer, q gateway.ChoiceQuestion, a gateway.ChoiceAnswer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s%s at entry %s, configuration %d\n", q.Host, q.Path, a.Entry, a.Configuration)
	if a.Refused != "" {
		fmt.Fprintf(w, "refused: %s\n", a.Refused)
		return w.Flush()
	}
	fmt.Fprintf(w, "route %s, service %s\n", a.Route, a.Service)
	if len(a.Regions) > 0 {
		fmt.Fprintf(w, "only in regions %s\n", strings.Join(a.Regions, ", "))
	}
	if len(a.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated zones: %s\n", strings.Join(a.Evacuated, ", "))
	}
	if a.Server != "" {
		fmt.Fprintf(w, "would go to %s; %d requests wait before it\n", a.Server, a.Waiting)
	} else {
		fmt.Fprintf(w, "no server now (%s); would wait up to %d ms behind %d requests, then be told to return after %d ms\n", a.Miss, a.WaitMS, a.Waiting, a.ReturnMS)
	}
	fmt.Fprintln(w, "SERVER\tZONE\tREGION\tEXCLUDED\tLOAD\tFULL AT\tREPORT AGE\tCOLD FOR")
	for _, s := range a.Candidates {
		age := "none"
		if s.ReportAgeMS >= 0 {
			age = fmt.Sprint(s.ReportAgeMS, " ms")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%.1f\t%s\t%d ms\n", s.Server, s.Zone, s.Region, s.Excluded, s.Load, s.MaxLoad, age, s.ColdMS)
	}
	return w.Flush()
}
