package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// sound returns a configuration without a problem.
func sound() routetable.Config {
	engine := &routetable.Engine{Slots: 10, Stride: 7, StepTime: 5 * time.Millisecond, PerRequest: time.Millisecond}
	return routetable.Config{
		Version: 7,
		Routes: []routetable.Route{
			{Name: "r0", Host: "h", Prefix: "/a/", Kind: routetable.KindStream, Timeout: 8 * time.Second, Objective: time.Second,
				EventGap: 100 * time.Millisecond, MaxAttempts: 2, Backends: []routetable.Backend{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "r1", Host: "h", Prefix: "/a/b/", Kind: routetable.KindSafe, Timeout: 8 * time.Second, MaxAttempts: 1,
				Backends: []routetable.Backend{{Service: "s", Weight: 1}}},
		},
		Services: []routetable.Service{{Name: "s", MaxConns: 100, Engine: engine}, {Name: "t"}},
		Accounts: []routetable.Account{{Name: "a", Keys: []string{"secret-1", "secret-2"}}, {Name: "b", Keys: []string{"secret-3"}}},
		Limits:   routetable.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// TestCheck guards against problems that are missed, reported at another place or severity, or together with others that
// do not exist. Each case breaks the sound configuration in one way.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		breakIt  func(c *routetable.Config)
		severity Severity
		place    Place
		message  string
	}{
		"no version":                 {func(c *routetable.Config) { c.Version = 0 }, Error, Place{Field: Version}, "missing"},
		"no host":                    {func(c *routetable.Config) { c.Routes[1].Host = "" }, Error, Place{Routes, 1, Host, 0}, "missing"},
		"host with a port":           {func(c *routetable.Config) { c.Routes[1].Host = "h:80" }, Warning, Place{Routes, 1, Host, 0}, "never matches"},
		"prefix without slash":       {func(c *routetable.Config) { c.Routes[1].Prefix = "/x" }, Error, Place{Routes, 1, Prefix, 0}, "slash"},
		"hidden route":               {func(c *routetable.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "H", "/a/" }, Warning, Place{Routes, 1, Prefix, 0}, `"r0" has the same`},
		"duplicate route":            {func(c *routetable.Config) { c.Routes[1].Name = "r0" }, Error, Place{Routes, 1, Name, 0}, "duplicate"},
		"no service":                 {func(c *routetable.Config) { c.Routes[1].Backends = nil }, Error, Place{Routes, 1, Backends, 0}, "names no service"},
		"unknown service":            {func(c *routetable.Config) { c.Routes[0].Backends[1].Service = "x"; c.Services = c.Services[:1] }, Error, Place{Routes, 0, Backends, 1}, `no service "x"`},
		"weights of 0":               {func(c *routetable.Config) { c.Routes[0].Backends[0].Weight, c.Routes[0].Backends[1].Weight = 0, 0 }, Warning, Place{Routes, 0, Weight, 0}, "all weights are 0"},
		"negative weight":            {func(c *routetable.Config) { c.Routes[0].Backends[0].Weight = -1 }, Error, Place{Routes, 0, Weight, 0}, "negative"},
		"unused service":             {func(c *routetable.Config) { c.Routes[0].Backends[1].Weight = 0 }, Warning, Place{Services, 1, Name, 0}, "no route"},
		"no timeout":                 {func(c *routetable.Config) { c.Routes[1].Timeout = 0 }, Error, Place{Routes, 1, Timeout, 0}, "missing"},
		"timeout below objective":    {func(c *routetable.Config) { c.Routes[0].Objective = 9 * time.Second }, Warning, Place{Routes, 0, Timeout, 0}, "below the latency objective"},
		"timeout too short":          {func(c *routetable.Config) { c.Routes[1].Timeout = minTimeout - 1 }, Warning, Place{Routes, 1, Timeout, 0}, "to reach a target"},
		"negative objective":         {func(c *routetable.Config) { c.Routes[1].Objective = -1 }, Error, Place{Routes, 1, Objective, 0}, "negative"},
		"event gap above timeout":    {func(c *routetable.Config) { c.Routes[0].EventGap = 8 * time.Second }, Warning, Place{Routes, 0, EventGap, 0}, "no event can be late"},
		"event gap below a step":     {func(c *routetable.Config) { c.Routes[0].EventGap = 40 * time.Millisecond }, Warning, Place{Routes, 0, EventGap, 0}, `idle engine of "s"`},
		"resumed without streams":    {func(c *routetable.Config) { c.Routes[1].Resumable = true }, Warning, Place{Routes, 1, Resumable, 0}, "no streams"},
		"event gap without streams":  {func(c *routetable.Config) { c.Routes[1].EventGap = 1 }, Warning, Place{Routes, 1, EventGap, 0}, "no streams"},
		"fewer connections than":     {func(c *routetable.Config) { c.Services[0].MaxConns = 9 }, Warning, Place{Services, 0, MaxConns, 0}, "10 slots"},
		"engine without slots":       {func(c *routetable.Config) { c.Services[0].Engine.Slots = 0 }, Error, Place{Services, 0, EngineSlots, 0}, "missing"},
		"cold time without rate":     {func(c *routetable.Config) { c.Services[1].ColdStart = 1 }, Warning, Place{Services, 1, ColdStart, 0}, "no rate"},
		"cold rate without time":     {func(c *routetable.Config) { c.Services[1].ColdRate = 1 }, Warning, Place{Services, 1, ColdRate, 0}, "no time"},
		"duplicate service":          {func(c *routetable.Config) { c.Services = append(c.Services, c.Services[1]) }, Error, Place{Services, 2, Name, 0}, "duplicate"},
		"account without keys":       {func(c *routetable.Config) { c.Accounts[1].Keys = nil }, Warning, Place{Accounts, 1, Keys, 0}, "no access"},
		"key of two accounts":        {func(c *routetable.Config) { c.Accounts[1].Keys[0] = "secret-2" }, Error, Place{Accounts, 1, Keys, 0}, `client account "a"`},
		"key listed twice":           {func(c *routetable.Config) { c.Accounts[0].Keys[1] = "secret-1" }, Warning, Place{Accounts, 0, Keys, 1}, "twice"},
		"empty key":                  {func(c *routetable.Config) { c.Accounts[1].Keys[0] = "" }, Error, Place{Accounts, 1, Keys, 0}, "empty"},
		"headers too short":          {func(c *routetable.Config) { c.Limits.HeaderBytes = 10 }, Warning, Place{Section: Limits, Field: HeaderBytes}, "below the 1024 bytes"},
		"headers above the process":  {func(c *routetable.Config) { c.Limits.HeaderBytes = 1 << 20 }, Warning, Place{Section: Limits, Field: HeaderBytes}, "no effect above"},
		"header time above process":  {func(c *routetable.Config) { c.Limits.HeaderTimeout = 9 * time.Second }, Warning, Place{Section: Limits, Field: HeaderTimeout}, "5000 ms"},
		"idle time below a packet's": {func(c *routetable.Config) { c.Limits.IdleTimeout = time.Millisecond }, Warning, Place{Section: Limits, Field: IdleTimeout}, "below the 1000 ms"},
		"negative body":              {func(c *routetable.Config) { c.Limits.BodyBytes = -1 }, Error, Place{Section: Limits, Field: BodyBytes}, "negative"},
	} {
		t.Run(name, func(t *testing.T) {
			conf := sound()
			c.breakIt(&conf)
			found := Check(&conf)
			if len(found) != 1 || found[0].Severity != c.severity || found[0].Place != c.place || !strings.Contains(found[0].Message, c.message) {
				t.Errorf("%+v, want one %s at %+v with %q", found, c.severity, c.place, c.message)
			}
			if strings.Contains(fmt.Sprint(found), "secret") {
				t.Errorf("a key is printed: %+v", found)
			}
		})
	}
	conf := sound()
	if found := Check(&conf); len(found) > 0 {
		t.Errorf("problems of a sound configuration: %+v", found)
	}
}

// TestCompare guards against a change that is missed, told without its effect, or told together with changes that did not
// happen, and against keys in the output.
func TestCompare(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c *routetable.Config)
		want   []string // KIND SUBJECT EFFECT
	}{
		"nothing":      {func(*routetable.Config) {}, nil},
		"order":        {func(c *routetable.Config) { slices.Reverse(c.Routes); slices.Reverse(c.Accounts) }, nil},
		"same version": {func(c *routetable.Config) { c.Version = 7 }, []string{"version-not-higher version never"}},
		"route added": {func(c *routetable.Config) {
			r := c.Routes[1]
			r.Name, r.Prefix = "n", "/n/"
			c.Routes = append(c.Routes, r)
		}, []string{"route-added n at once"}},
		"route removed":     {func(c *routetable.Config) { c.Routes = c.Routes[:1] }, []string{"route-removed r1 " + string(AfterDrain)}},
		"route moved":       {func(c *routetable.Config) { c.Routes[1].Backends[0].Service = "t" }, []string{"route-moved r1 " + string(AfterDrain)}},
		"other shares":      {func(c *routetable.Config) { c.Routes[0].Backends[1].Weight = 90 }, []string{"route-moved r0 " + string(AfterDrain)}},
		"same shares":       {func(c *routetable.Config) { c.Routes[0].Backends[0].Weight, c.Routes[0].Backends[1].Weight = 9, 1 }, nil},
		"public":            {func(c *routetable.Config) { c.Routes[0].Public = true }, []string{"route-changed r0 at once"}},
		"shorter time":      {func(c *routetable.Config) { c.Routes[0].Timeout = time.Second }, []string{"limit-lowered timeout of route r0 " + string(AfterDrain)}},
		"priority":          {func(c *routetable.Config) { c.Routes[0].Priority = 3 }, []string{"route-changed r0 at once"}},
		"regions":           {func(c *routetable.Config) { c.Routes[0].Regions = []string{"x"} }, []string{"route-changed r0 at once"}},
		"region of account": {func(c *routetable.Config) { c.Accounts[0].Regions = []string{"x", "y"} }, []string{"account-changed a at once"}},
		"empty regions":     {func(c *routetable.Config) { c.Routes[0].Regions, c.Accounts[0].Regions = []string{}, []string{} }, nil},
		"lower limit":       {func(c *routetable.Config) { c.Limits.BodyBytes = 5 }, []string{"limit-lowered body bytes of a request at once"}},
		"no limit":          {func(c *routetable.Config) { c.Limits.BodyBytes = 0 }, []string{"limit-raised body bytes of a request at once"}},
		"service":           {func(c *routetable.Config) { c.Services[1].Name = "u" }, []string{"service-removed t " + string(AfterDrain), "service-added u at once"}},
		"engine":            {func(c *routetable.Config) { c.Services[0].Engine.Slots = 11 }, []string{"service-changed s at once"}},
		"key revoked":       {func(c *routetable.Config) { c.Accounts[0].Keys = c.Accounts[0].Keys[:1] }, []string{"key-revoked a " + string(AfterDrain)}},
		"last key":          {func(c *routetable.Config) { c.Accounts[1].Keys = nil }, []string{"key-revoked b " + string(AfterDrain), "access-lost b " + string(AfterDrain)}},
		"key added":         {func(c *routetable.Config) { c.Accounts[1].Keys = append(c.Accounts[1].Keys, "secret-4") }, []string{"key-added b at once"}},
		"account's name":    {func(c *routetable.Config) { c.Accounts[1].Name = "z" }, []string{"account-removed b " + string(AfterDrain), "account-added z at once", "key-moved z " + string(AfterDrain)}},
		"no accounts": {func(c *routetable.Config) { c.Accounts = nil }, []string{"route-changed r0 at once", "route-changed r1 at once",
			"account-removed a " + string(AfterDrain), "account-removed b " + string(AfterDrain),
			"key-revoked a " + string(AfterDrain), "key-revoked a " + string(AfterDrain), "key-revoked b " + string(AfterDrain)}},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := sound(), sound()
			after.Version = 8
			c.change(&after)
			var got []string
			for _, d := range Compare(HashKeys(before), HashKeys(after)) {
				got = append(got, fmt.Sprintf("%s %s %s", d.Kind, d.Subject, d.Effect))
				if strings.Contains(d.String(), "secret") {
					t.Errorf("a key is printed: %s", d)
				}
			}
			slices.Sort(got)
			slices.Sort(c.want)
			if !slices.Equal(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
	open, closed := sound(), sound()
	open.Accounts, closed.Version = nil, 8
	lost := slices.ContainsFunc(Compare(HashKeys(open), HashKeys(closed)), func(d Difference) bool { return d.Kind == AccessLost && d.Subject == "r0" })
	if !lost {
		t.Error("callers without a key lose access, which is not told")
	}
}

// TestCompareRegions guards against limits to regions that are told in another order as if they had changed, and against an
// empty one that is not told as all regions.
func TestCompareRegions(t *testing.T) {
	before, after := sound(), sound()
	after.Version = 8
	before.Routes[0].Regions, after.Routes[0].Regions = []string{"x", "y"}, []string{"y", "x"}
	before.Accounts[0].Regions = []string{"x"}
	before.Limits.BodyBytes = 0
	var got []string
	for _, d := range Compare(HashKeys(before), HashKeys(after)) {
		got = append(got, d.Message)
	}
	want := []string{"the regions of its targets are all instead of x", "1.048576e+06 instead of the entry's default"}
	if !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestHashKeysKeepsOriginal guards against a copy with hashed keys that changes the configuration in force.
func TestHashKeysKeepsOriginal(t *testing.T) {
	c := sound()
	if hashed := HashKeys(c); hashed.Accounts[0].Keys[0] != KeyHash("secret-1") || c.Accounts[0].Keys[0] != "secret-1" {
		t.Errorf("%v, from %v", hashed.Accounts, c.Accounts)
	}
}
