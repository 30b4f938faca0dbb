// Command demo runs the whole system on loopback and checks what callers see.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/bench/harness"
)

func main() {
	var cfg struct {
		Bin string `long:"bin" default:"bin" description:"directory of the programs"`
	}
	if _, err := flags.Parse(&cfg); err != nil {
		os.Exit(2)
	}
	cluster, err := harness.Start(cfg.Bin, io.Discard)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	cluster.Close()
}
