package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

const (
	ownToken   = "token-of-hokkaido"
	otherToken = "token-of-kerlouan"
	signingKey = "0123456789abcdef"
)

// countingSubmitter counts what reaches the home, and answers with what it got.
type countingSubmitter struct {
	submits int
	last    *peer.SubmitRequest
	answer  api.Answer
}

func (c *countingSubmitter) Submit(_ context.Context, _ *ticket.Claims, request *peer.SubmitRequest) *api.Answer {
	c.submits++
	c.last = request
	return &c.answer
}

func (c *countingSubmitter) Wait(context.Context, *ticket.Claims, *peer.WaitRequest) *api.Answer {
	return &c.answer
}

func (c *countingSubmitter) Cancel(context.Context, *ticket.Claims, *peer.CancelRequest) *api.Answer {
	return &c.answer
}

type bench struct {
	submitter *countingSubmitter
	tickets   *ticket.Issuer
	handler   http.Handler
}

func newBench() *bench {
	clock := clockwork.NewFakeClock()
	board := blackboard.New()
	state := configuration.NewState()
	state.Owners["hokkaido"] = acceptedOwner("hokkaido", ownToken)
	state.Owners["kerlouan"] = acceptedOwner("kerlouan", otherToken)
	board.Configuration.Store(blackboard.NewConfigurationIndex(state))
	c := &common.Common{
		Log:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Settings: settings.Default(),
		Clock:    clock,
	}
	tickets := ticket.New(signingKey, "e1", "sapporo", "inc", time.Minute, clock)
	submitter := &countingSubmitter{answer: api.Answer{State: api.StateComplete, Ran: api.RanYes}}
	return &bench{submitter: submitter, tickets: tickets, handler: New(c, board, tickets, submitter).Handler()}
}

func acceptedOwner(name, token string) *configuration.Accepted {
	return &configuration.Accepted{Version: 1, Document: configuration.Document{
		Owner:  name,
		Tokens: []configuration.Token{{Name: "desk", Role: configuration.RoleCaller, Hash: configuration.HashToken(token)}},
	}}
}

// post returns the response's status and headers, and the answer in its body.
func (b *bench) post(path, body string, headers map[string]string) (int, http.Header, api.Answer) {
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+ownToken)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, request)
	var answer api.Answer
	_ = json.Unmarshal(recorder.Body.Bytes(), &answer)
	return recorder.Code, recorder.Header(), answer
}

type badInput struct {
	path    string
	body    string
	headers map[string]string
	code    api.Code
	reason  string
}

// ran is unknown under a ticket that says nothing, since an earlier try under the true one may have been taken.
func (b *badInput) ran() api.Ran {
	if b.headers[api.HeaderTicket] != "" {
		return api.RanUnknown
	}
	return api.RanNo
}

const goodTask = `{"service":"desk","kind":"stock"}`

// TestBadInputStartsNothing sends each kind of bad input and checks that the answer names it and that nothing reached the home.
func TestBadInputStartsNothing(t *testing.T) {
	forged, _, err := ticket.New("another key of 16", "e1", "sapporo", "inc", time.Minute, clockwork.NewFakeClock()).Issue("hokkaido")
	require.NoError(t, err)
	foreign, _, err := newBench().tickets.Issue("kerlouan")
	require.NoError(t, err)
	tests := map[string]badInput{
		"no token":          {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{"Authorization": ""}, code: api.CodeUnauthorized, reason: "Bearer"},
		"unknown token":     {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{"Authorization": "Bearer x"}, code: api.CodeUnauthorized, reason: "no owner"},
		"not JSON":          {body: `{"tasks":`, code: api.CodeBadRequest, reason: "not a valid submission"},
		"unknown field":     {body: `{"tasks":[` + goodTask + `],"speed":1}`, code: api.CodeBadRequest, reason: "speed"},
		"text after":        {body: `{"tasks":[` + goodTask + `]} x`, code: api.CodeBadRequest, reason: "text follows"},
		"no tasks":          {body: `{"tasks":[]}`, code: api.CodeBadRequest, reason: "tasks is empty"},
		"too many tasks":    {body: `{"tasks":[` + strings.Repeat(goodTask+",", api.MaxTasks) + goodTask + `]}`, code: api.CodeBadRequest, reason: "at most 290"},
		"service and pool":  {body: `{"tasks":[{"service":"a","pool":"b","kind":"k"}]}`, code: api.CodeBadRequest, reason: "tasks[0]"},
		"neither":           {body: `{"tasks":[{"kind":"k"}]}`, code: api.CodeBadRequest, reason: "tasks[0]"},
		"no kind":           {body: `{"tasks":[{"service":"a"}]}`, code: api.CodeBadRequest, reason: "kind"},
		"negative need":     {body: `{"tasks":[{"pool":"a","kind":"k","need":{"cores":-1}}]}`, code: api.CodeBadRequest, reason: "need is negative"},
		"bare number":       {body: `{"tasks":[` + goodTask + `],"deadline":"5"}`, code: api.CodeBadRequest, reason: "unit"},
		"negative deadline": {body: `{"tasks":[` + goodTask + `],"deadline":"-5s"}`, code: api.CodeBadRequest, reason: "deadline is negative"},
		"bad wait":          {path: "/v1/jobs?wait=x", body: `{"tasks":[` + goodTask + `]}`, code: api.CodeBadRequest, reason: "wait"},
		"long key":          {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{api.HeaderKey: strings.Repeat("k", api.MaxKeyBytes+1)}, code: api.CodeBadRequest, reason: "longer"},
		"slash in key":      {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{api.HeaderKey: "a/b"}, code: api.CodeBadRequest, reason: "slashes"},
		"forged ticket":     {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{api.HeaderTicket: forged}, code: api.CodeBadTicket, reason: "not valid"},
		"nonsense ticket":   {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{api.HeaderTicket: "x.y.z"}, code: api.CodeBadTicket, reason: "not valid"},
		"foreign ticket":    {body: `{"tasks":[` + goodTask + `]}`, headers: map[string]string{api.HeaderTicket: foreign}, code: api.CodeForbidden, reason: "another owner"},
		"body too large":    {body: `{"tasks":[{"service":"a","kind":"k","payload":"` + strings.Repeat("x", api.MaxBodyBytes) + `"}]}`, code: api.CodeTooLarge, reason: "larger"},
		"no such path":      {path: "/v1/nothing", body: `{}`, code: api.CodeNotFound, reason: "Not Found"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench()
			path := test.path
			if path == "" {
				path = "/v1/jobs"
			}
			status, _, answer := bench.post(path, test.body, test.headers)
			require.Equal(t, test.code, answer.Code, answer.Reason)
			require.Contains(t, answer.Reason, test.reason)
			require.Equal(t, answer.Status(), status)
			require.Equal(t, test.ran(), answer.Ran)
			require.Zero(t, bench.submitter.submits)
		})
	}
}

func TestAnswerCarriesTheCallersIdentifierAndATicket(t *testing.T) {
	bench := newBench()
	status, header, answer := bench.post("/v1/jobs", `{"tasks":[`+goodTask+`]}`, map[string]string{api.HeaderKey: "order-7"})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "order-7", answer.Key)
	claims, err := bench.tickets.Verify(header.Get(api.HeaderTicket))
	require.NoError(t, err)
	require.Equal(t, "hokkaido", claims.Account)
	require.Equal(t, "order-7", bench.submitter.last.Identity.Key)
	require.Equal(t, "hokkaido", bench.submitter.last.Identity.Account)
}

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	bench := newBench()
	bench.submitter.answer = api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeOverload, RetryAfter: jsontime.Duration(1500 * time.Millisecond)}
	status, header, answer := bench.post("/v1/requests", goodTask, nil)
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Equal(t, "2", header.Get(api.HeaderRetryAfter))
	require.Equal(t, 1500*time.Millisecond, answer.RetryAfter.Std())
}

// FuzzSubmit checks that no body makes the server fail inside, and that only whole submissions reach the home.
func FuzzSubmit(f *testing.F) {
	f.Add(`{"tasks":[` + goodTask + `]}`)
	f.Add(`{"tasks":[{"pool":"p","kind":"k","need":{"cores":1e300},"declared":"1h"}],"urgent":true}`)
	f.Add(`{"tasks":[null]}`)
	f.Fuzz(func(t *testing.T, body string) {
		bench := newBench()
		_, _, answer := bench.post("/v1/jobs", body, nil)
		require.NotEqual(t, api.CodeInternal, answer.Code, answer.Reason)
		if bench.submitter.submits == 0 {
			require.Equal(t, api.RanNo, answer.Ran)
			return
		}
		require.NotEmpty(t, bench.submitter.last.Submission.Tasks)
		require.LessOrEqual(t, len(bench.submitter.last.Submission.Tasks), api.MaxTasks)
	})
}
