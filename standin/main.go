// Command standin is a part of chervilusher; see the README.
package main

import (
	"os"

	"chervilusher.dev/standin/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
