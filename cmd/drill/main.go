// Drill runs senders behind the line protocol of the simulator, on standard input and output.
package main

import (
	"fmt"
	"os"

	"flaxcove/internal/drill"
)

func main() {
	if err := drill.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
