// Command load runs experiments against entry hosts and reports what it measured.
package main

import (
	"os"

	"chervilusher.dev/load/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
