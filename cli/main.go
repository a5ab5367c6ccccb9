// Command chervilusher is the command line of callers and operators.
package main

import (
	"os"

	"chervilusher.dev/cli/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
