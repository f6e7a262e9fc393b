// Command simdriver connects package rules to the simulator over standard input and output.
package main

import (
	"fmt"
	"os"

	"sedgespread/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simdriver:", err)
		os.Exit(1)
	}
}
