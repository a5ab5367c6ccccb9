package office

import (
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/minion"
)

func small() Settings {
	settings := Settings{Control: "127.0.0.1:0"}
	settings.Log.Listen = "127.0.0.1:0"
	settings.Hosts.Listen = "127.0.0.1:0"
	settings.Groups = []Group{
		{
			Name: "desk", Role: platform.RoleMinion, Places: []string{"x", "y", "z"},
			Count: 6, Address: "127.0.0.1", Speeds: []float64{0.5, 2},
		},
		{Name: "pool", Role: platform.RoleWorker, Places: []string{"x"}, Count: 2, Address: "127.0.0.1"},
	}
	settings.Entries = []Entry{{Name: "e", Address: "127.0.0.1:1", Place: "x"}}
	return settings
}

func TestOfficeStartsAndSwitchesFaults(t *testing.T) {
	office, err := New(clockwork.NewRealClock(), small())
	require.NoError(t, err)
	defer office.Close()
	require.Len(t, office.Members, 8)
	require.Equal(t, 2.0, office.Member("desk-5").Speed)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+office.Control()+"/control/backends",
		strings.NewReader(`{"names":["desk-1"],"faults":{"fail":true}}`))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, office.Member("desk-1").Faults().Get().Fail)

	require.Error(t, office.SetBackendFaults(BackendFaults{Names: []string{"nobody"}}))
	address := office.Member("desk-2").Address()
	require.NoError(t, office.SetBackendFaults(BackendFaults{Names: []string{"desk-2"}, Down: true}))
	require.NoError(t, office.SetBackendFaults(BackendFaults{Names: []string{"desk-2"}, Faults: minion.Faults{}}))
	require.Equal(t, address, office.Member("desk-2").Address())
}

func TestPlacesAndRacksGetEqualParts(t *testing.T) {
	group := Group{Name: "g", Role: platform.RoleMinion, Places: []string{"x", "y", "z"}, Count: 48}.withDefaults()
	places := map[string]int{}
	racks := map[string]int{}
	for i := range group.Count {
		host := group.host(i)
		places[host.Place]++
		racks[host.Rack]++
	}
	require.Equal(t, map[string]int{"x": 16, "y": 16, "z": 16}, places)
	require.Len(t, racks, 6)
	for _, size := range racks {
		require.Equal(t, 8, size)
	}
}

func TestBadSettings(t *testing.T) {
	cases := map[string]func(*Settings){
		"log.listen":   func(s *Settings) { s.Log.Listen = "" },
		"hosts.listen": func(s *Settings) { s.Hosts.Listen = "" },
		"role":         func(s *Settings) { s.Groups[0].Role = "x" },
		"count":        func(s *Settings) { s.Groups[0].Count = 0 },
		"IP number":    func(s *Settings) { s.Groups[0].Address = "name" },
		"speeds":       func(s *Settings) { s.Groups[0].Speeds = []float64{0} },
	}
	for want, spoil := range cases {
		settings := small()
		spoil(&settings)
		_, err := New(clockwork.NewRealClock(), settings)
		require.ErrorContains(t, err, want)
	}
}
