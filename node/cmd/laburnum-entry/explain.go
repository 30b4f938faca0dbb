package main

import (
	"errors"
	"os"

	"github.com/laburnumloft/laburnumloft/node/decision"
)

const explainHelp = "Reads log lines of any number of processes on standard input and prints what decided one request, in order." + exitCodes

// explainCommand prints the logged decisions about one request.
type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" description:"request id"`
	} `positional-args:"yes" required:"yes"`
}

var errUnknownRequest = errors.New("no line of this request; routine lines of answered requests are sampled")

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	found, err := decision.Explain(os.Stdin, os.Stdout, c.Args.ID)
	if err == nil && !found {
		err = errUnknownRequest
	}
	if err != nil {
		return &failure{err}
	}
	return nil
}
