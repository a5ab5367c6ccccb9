// Command standin runs small stand-ins for the platform, its minions and its workers.
package main

import (
	"os"

	"chervilusher.dev/standin/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
