package app

import "time"

// arguments is the whole command line.
type arguments struct {
	JSON bool `arg:"--json" help:"print JSON instead of tables and text"`
	tlsFlags

	Submit   *submitArguments   `arg:"subcommand:submit" help:"submit a job and wait for its answer"`
	Request  *requestArguments  `arg:"subcommand:request" help:"send a single request and wait for its answer"`
	Wait     *handleArguments   `arg:"subcommand:wait" help:"wait for the answer of a job"`
	Cancel   *handleArguments   `arg:"subcommand:cancel" help:"cancel a job"`
	Ticket   *ticketArguments   `arg:"subcommand:ticket" help:"get a ticket"`
	Config   *configArguments   `arg:"subcommand:config" help:"make, check and publish an owner's configuration"`
	Status   *statusArguments   `arg:"subcommand:status" help:"show what one entry host knows"`
	Evacuate *evacuateArguments `arg:"subcommand:evacuate" help:"close a failure domain to new work"`
	Takeback *evacuateArguments `arg:"subcommand:takeback" help:"open an evacuated failure domain again"`
	Drain    *operatorFlags     `arg:"subcommand:drain" help:"make an entry host finish its work and stop"`
	Burn     *burnArguments     `arg:"subcommand:burn" help:"show how fast the error budgets are used up"`
}

// Description tells what the program is.
func (arguments) Description() string {
	return "chervilusher submits work as a caller, and configures and watches the dispatcher as an operator."
}

// Epilogue points to the examples and exit codes.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 other error, 2 bad input, 3 refused (not run), 4 failed, 5 unknown outcome,\n" +
		"6 cancelled, 7 configuration rejected, 8 no host reached. `chervilusher COMMAND --help` shows examples."
}

// callerFlags say where a caller sends and who it is.
type callerFlags struct {
	Entry     []string `arg:"--entry,separate,env:CHERVILUSHER_ENTRY" help:"base URLs of the callers' API, the first one is tried first"`
	Token     string   `arg:"--token,env:CHERVILUSHER_TOKEN" help:"the owner's token"`
	TokenFile string   `arg:"--token-file" help:"file whose first line is the token"`
}

// operatorFlags say which entry host an operator talks to and who it is.
type operatorFlags struct {
	Entry     string `arg:"--entry,env:CHERVILUSHER_OPERATORS" help:"base URL of an entry host's operators' API"`
	Token     string `arg:"--token,env:CHERVILUSHER_OPERATOR_TOKEN" help:"the operator's token"`
	TokenFile string `arg:"--token-file" help:"file whose first line is the token"`
}

// workFlags describe work on the command line.
type workFlags struct {
	Service      string        `arg:"--service" help:"service whose minions run it"`
	Pool         string        `arg:"--pool" help:"worker pool that runs it"`
	Kind         string        `arg:"--kind" help:"kind of work"`
	Payload      string        `arg:"--payload" help:"JSON value given to the task"`
	Declared     time.Duration `arg:"--declared" help:"guess of the run time, such as 200ms"`
	Cores        float64       `arg:"--cores" help:"processors that the task needs on a worker"`
	Memory       int64         `arg:"--memory" help:"bytes that the task needs on a worker"`
	Accelerators int           `arg:"--accelerators" help:"accelerators that the task needs on a worker"`
	Urgent       bool          `arg:"--urgent" help:"goes before other work of the owner"`
	Deadline     time.Duration `arg:"--deadline" help:"time from receipt after which the answer is of no use"`
}

// submitArguments are those of submit.
type submitArguments struct {
	callerFlags
	workFlags
	File   string `arg:"positional" help:"file with a submission in JSON, - for standard input"`
	Count  int    `arg:"--count" default:"1" help:"number of equal tasks"`
	Detach bool   `arg:"--detach" help:"print the key and ticket and do not wait"`
	Key    string `arg:"--key" help:"key of an earlier submission, to send it again"`
	Ticket string `arg:"--ticket" help:"ticket of an earlier submission, to send it again"`
}

// requestArguments are those of request.
type requestArguments struct {
	callerFlags
	workFlags
	Idempotent bool `arg:"--idempotent" help:"it may be retried on another minion"`
}

// handleArguments name one submission.
type handleArguments struct {
	callerFlags
	Key    string `arg:"positional,required" help:"key of the submission"`
	Ticket string `arg:"--ticket" help:"ticket under which it was submitted"`
}

// ticketArguments are those of ticket.
type ticketArguments struct {
	callerFlags
}

// configArguments hold the commands about configurations.
type configArguments struct {
	New     *configNewArguments     `arg:"subcommand:new" help:"print a first document to edit"`
	Check   *configCheckArguments   `arg:"subcommand:check" help:"check a document without publishing it"`
	Diff    *configDiffArguments    `arg:"subcommand:diff" help:"compare a document with the one in force"`
	Publish *configPublishArguments `arg:"subcommand:publish" help:"publish a document"`
	Show    *configOwnerArguments   `arg:"subcommand:show" help:"print the document in force"`
	History *configOwnerArguments   `arg:"subcommand:history" help:"list the owner's changes"`
}

// sourceFlags choose between the log and an entry host.
type sourceFlags struct {
	operatorFlags
	Log string `arg:"--log,env:CHERVILUSHER_LOG" help:"base URL of the log service, used instead of an entry host"`
}

// configNewArguments are those of config new.
type configNewArguments struct {
	Owner string `arg:"positional,required" help:"name of the owner"`
}

// configCheckArguments are those of config check.
type configCheckArguments struct {
	sourceFlags
	File    string `arg:"positional,required" help:"file with the document, - for standard input"`
	Against string `arg:"--against" placeholder:"FILE|force" help:"show what differs from another file, or from the version in force"`
}

// configDiffArguments are those of config diff.
type configDiffArguments struct {
	sourceFlags
	File string `arg:"positional,required" help:"file with the document, - for standard input"`
}

// configPublishArguments are those of config publish.
type configPublishArguments struct {
	sourceFlags
	File   string `arg:"positional,required" help:"file with the document, - for standard input"`
	Base   *int64 `arg:"--base" help:"version that the document was made from; 0 for an owner's first one"`
	Again  string `arg:"--publish" help:"identifier of an earlier attempt whose answer was lost, to go on with it"`
	Author string `arg:"--author,env:USER" help:"who makes the change, recorded in the log"`
}

// configOwnerArguments are those of config show and config history.
type configOwnerArguments struct {
	sourceFlags
	Owner string `arg:"positional,required" help:"name of the owner"`
}

// statusArguments are those of status.
type statusArguments struct {
	operatorFlags
	What string `arg:"positional" default:"hosts" help:"hosts, minions, workers, queues, owners or evacuations"`
}

// evacuateArguments are those of evacuate and takeback.
type evacuateArguments struct {
	operatorFlags
	Domain string `arg:"positional,required" help:"name of the failure domain in the host list"`
	Again  string `arg:"--publish" help:"identifier of an earlier attempt whose answer was lost, to go on with it"`
}

// burnArguments are those of burn.
type burnArguments struct {
	Entry     []string `arg:"--entry,separate,env:CHERVILUSHER_OPERATORS" help:"base URLs of entry hosts' operators' APIs, whose figures are added up"`
	Token     string   `arg:"--token,env:CHERVILUSHER_OPERATOR_TOKEN" help:"the operator's token"`
	TokenFile string   `arg:"--token-file" help:"file whose first line is the token"`

	Page string `arg:"--page" help:"write the report as an HTML page to this file"`
}
