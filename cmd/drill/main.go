// Command drill runs the decisions of package rules on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"sedgespread/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
