package gateway_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// limitRegions limits all routes and the client account to regions.
func (f *fixture) limitRegions(route, account []string) {
	config := f.gateway.Tables.Load().Config
	config.Version++
	config.Routes, config.Accounts = slices.Clone(config.Routes), slices.Clone(config.Accounts)
	for i := range config.Routes {
		config.Routes[i].Regions = route
	}
	config.Accounts[0].Regions = account
	f.gateway.Tables.Offer(config)
	f.gateway.Regions = map[string]string{"near": "north", "far": "south"}
}

// TestRegionLimits guards against requests that reach targets outside the regions of their route or account, also in retries
// and continuations, and against those that wait although no target is inside.
func TestRegionLimits(t *testing.T) {
	for name, c := range map[string]struct {
		route, account []string
		want           string // data centre that serves; empty if the request is refused
	}{
		"none":                       {nil, nil, "near"},
		"route":                      {[]string{"south"}, nil, "far"},
		"account":                    {nil, []string{"south"}, "far"},
		"both regions":               {[]string{"south", "north"}, nil, "near"},
		"route and account":          {[]string{"south", "north"}, []string{"south"}, "far"},
		"route and account disagree": {[]string{"north"}, []string{"south"}, ""},
		"unknown region":             {[]string{"east"}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "near"), target.Answer(200, "far"))
			f.limitRegions(c.route, c.account)
			started := time.Now()
			a := f.do("GET", "/safe/x", "", "X-Camphorbank-Deadline-Ms", "900") // of a returning caller
			refused := a.status == 503 && strings.Contains(a.body, "targets-outside-regions") && a.header.Get("Retry-After") != ""
			if c.want != "" && a.body != c.want || c.want == "" && !refused || time.Since(started) > 200*time.Millisecond {
				t.Errorf("%+v after %v", a, time.Since(started))
			}
		})
	}
}

// TestRetriesStayInRegions guards against a retry, a continued stream, and a request during an evacuation that leave the regions
// of their route.
func TestRetriesStayInRegions(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		first    target.Behaviour
		evacuate bool
		status   int
	}{
		"retry":        {"/safe/x", target.RefuseNotRun(), false, 503},
		"continuation": {"/stream/x", target.Stream(5, time.Millisecond, true), false, 200},
		"evacuation":   {"/safe/x", target.Answer(200, "near"), true, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.first, target.Answer(200, "far"))
			f.limitRegions([]string{"north"}, nil)
			if c.evacuate {
				f.evacuate(2, false, "near")
			}
			if a := f.do("POST", c.path, "b"); a.status != c.status {
				t.Errorf("%+v", a)
			}
			if n := len(f.second.Arrivals()); n > 0 {
				t.Errorf("%d requests left the region", n)
			}
		})
	}
}

// TestDataCentreOfUnknownRegion guards against requests with a limit to a data centre whose region the settings do not state.
func TestDataCentreOfUnknownRegion(t *testing.T) {
	f := newFixture(t, target.Answer(200, "near"), target.Answer(200, "far"))
	f.limitRegions([]string{"south"}, nil)
	f.gateway.Regions = nil
	if a := f.do("GET", "/safe/x", ""); a.status != 503 || f.arrivals() > 0 {
		t.Errorf("%+v after %d arrivals", a, f.arrivals())
	}
}
