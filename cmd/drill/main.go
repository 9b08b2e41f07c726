// Drill hosts senders behind the bench's wire on standard input and output.
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
