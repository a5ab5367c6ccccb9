// Command soak runs the entry program under random faults and checks what callers and workers see.
package main

import (
	"os"

	"chervilusher.dev/soak/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
