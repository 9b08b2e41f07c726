package file_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"flaxcove/choice"
	"flaxcove/internal/routes"
	"flaxcove/internal/routes/file"
)

// storedRouting returns the content of testdata/stored/routes.toml, which has each field that commit 485f0e4 read. The
// file must never be regenerated.
func storedRouting() (rules []routes.Rule, expects []routes.Expectation, overrides []routes.Override, list []routes.Endpoint) {
	destination := new(choice.DestinationID(-7))
	rules = []routes.Rule{
		{Name: "first", Match: routes.Match{Destination: destination, Class: "order", Tenant: "acme", KeyPrefix: "k-"}, NoEndpoint: routes.HandBack,
			Sets: []routes.Set{
				{Targets: []routes.Target{{Endpoints: []choice.EndpointID{"a", "b"}, Weight: 2.5}, {Zone: "z1", Kind: "many", Weight: 1}}},
				{Under: 0.5, Targets: []routes.Target{{Labels: map[string]string{"use": "trial"}, Weight: 0.25}}},
			}},
		{Name: "second", Sets: []routes.Set{{Targets: []routes.Target{{Zone: "z2", Weight: 1}}}}},
	}
	expects = []routes.Expectation{{Name: "shares", Destination: destination, Class: "order", Tenant: "acme", Key: "k-1",
		Only: []choice.EndpointID{"a", "b"}, Never: []choice.EndpointID{"c"}, AtLeast: 1,
		Shares: map[choice.EndpointID]float64{"a": 0.75, "b": 0.25}, Within: 0.05, Losses: 1}}
	overrides = []routes.Override{
		{ID: "o1", Kind: routes.OutOfService, Destination: -7, Endpoints: []choice.EndpointID{"a"}, SetBy: "ops", Reason: "repair", Lifetime: 90 * time.Second},
		{ID: "o2", Kind: routes.Sticky, Destination: -7, Class: "order", Endpoints: []choice.EndpointID{"a", "b"}, SetBy: "ops", Reason: "trial",
			Lifetime: 2 * time.Minute},
		{ID: "o3", Kind: routes.FixedWeight, Destination: -7, Endpoints: []choice.EndpointID{"b"}, Weight: 0.125, SetBy: "ops", Reason: "slow",
			Lifetime: 3 * time.Minute},
	}
	list = []routes.Endpoint{
		{ID: "a", Destination: -7, Zone: "z1", Kind: "many", Labels: map[string]string{"use": "trial"}, Ready: true},
		{ID: "b", Destination: -7, Zone: "z2"},
	}
	return rules, expects, overrides, list
}

// TestReadsStoredRoutes checks that each field of a file for an older program is read.
func TestReadsStoredRoutes(t *testing.T) {
	r, err := file.Load("testdata/stored/routes.toml")
	if err != nil {
		t.Fatal(err)
	}
	var overrides []routes.Override
	for _, shown := range r.Overrides.Status(0) {
		overrides = append(overrides, shown.Override)
	}
	wantRules, wantExpects, wantOverrides, wantList := storedRouting()
	for _, part := range []struct {
		name      string
		got, want any
	}{
		{"route", r.Rules, wantRules},
		{"expect", r.Expects, wantExpects},
		{"override", overrides, wantOverrides},
		{"endpoint", r.List, wantList},
	} {
		if diff := cmp.Diff(part.want, part.got); diff != "" {
			t.Errorf("%s (-stored +read):\n%s", part.name, diff)
		}
	}
}
