// Command standin-3 plays the cases of the third review.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(dir string, trouble bool) (broken bool, err error){
		"11": shortList, "12": silentStore, "13": staleWeights, "14": lastTenant, "15": comments, "heads": largeHeads,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
