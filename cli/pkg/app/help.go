package app

import (
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
)

// examples holds lines for the help of each command, by its full name.
var examples = map[string][]string{
	"": {
		"export CHERVILUSHER_ENTRY=http://10.0.0.1:7100 CHERVILUSHER_TOKEN=...",
		"chervilusher submit --service desk --kind stock --count 3 --payload '{\"shelf\":12}'",
		"chervilusher --json status queues --entry http://10.0.0.1:7200",
	},
	"submit": {
		"chervilusher submit --service desk --kind stock --count 3",
		"chervilusher submit job.json",
		"generate-job | chervilusher --json submit - | jq .results",
		"chervilusher submit job.json --key KEY --ticket TICKET   # sends it again; it never runs twice",
	},
	"request": {
		"chervilusher request --service desk --kind stock --idempotent --payload '{\"shelf\":12}'",
		"chervilusher request --service desk --kind invoice   # runs at most once",
	},
	"wait":   {"chervilusher wait KEY --ticket TICKET"},
	"cancel": {"chervilusher cancel KEY --ticket TICKET"},
	"ticket": {"TICKET=$(chervilusher ticket)"},
	"config": {
		"chervilusher config new hokkaido > hokkaido.json",
		"chervilusher config check hokkaido.json",
		"chervilusher config publish hokkaido.json --base 0 --log http://10.0.0.9:7000",
	},
	"config new":     {"chervilusher config new hokkaido > hokkaido.json"},
	"config check":   {"chervilusher config check hokkaido.json", "go run ./office | chervilusher config check -"},
	"config diff":    {"chervilusher config diff hokkaido.json --entry http://10.0.0.1:7200"},
	"config publish": {"chervilusher config publish hokkaido.json --base 4 --entry http://10.0.0.1:7200"},
	"config show":    {"chervilusher --json config show hokkaido --log http://10.0.0.9:7000"},
	"config history": {"chervilusher config history hokkaido --entry http://10.0.0.1:7200"},
	"status":         {"chervilusher status minions --entry http://10.0.0.1:7200"},
	"evacuate":       {"chervilusher evacuate north --entry http://10.0.0.1:7200 --token-file host.token"},
	"takeback":       {"chervilusher takeback north --entry http://10.0.0.1:7200 --token-file host.token"},
	"drain":          {"chervilusher drain --entry http://10.0.0.1:7200 --token-file host.token"},
	"burn": {
		"chervilusher burn --entry http://10.0.0.1:7200",
		"chervilusher burn --entry http://10.0.0.1:7200 --entry http://10.0.0.2:7200 --page burn.html",
	},
}

func help(parser *arg.Parser, out io.Writer) int {
	names := parser.SubcommandNames()
	_ = parser.WriteHelpForSubcommand(out, names...)
	_, _ = fmt.Fprintln(out, "\nExamples:")
	for _, line := range examples[strings.Join(names, " ")] {
		_, _ = fmt.Fprintln(out, "  "+line)
	}
	return exitDone
}
