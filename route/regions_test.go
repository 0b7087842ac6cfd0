package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestsMayRunWhereRouteAndCustomerAllow(t *testing.T) {
	tests := []struct {
		name                  string
		route, customer, want []string
	}{
		{"no bound", nil, nil, nil},
		{"of the route", []string{"west"}, nil, []string{"west"}},
		{"of the customer", nil, []string{"east"}, []string{"east"}},
		{"of both", []string{"west", "east"}, []string{"east", "north"}, []string{"east"}},
		{"of both, none left", []string{"west"}, []string{"east"}, []string{}},
		{"none allowed", []string{}, nil, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := AllowedRegions(&Route{Regions: tt.route}, &Customer{Regions: tt.customer})
			assert.DeepEqual(t, got, tt.want)
		})
	}
	assert.DeepEqual(t, AllowedRegions(&Route{Regions: []string{"west"}}, nil), []string{"west"})
}

func TestRegionsWithoutDataCentreAreFound(t *testing.T) {
	s := spec()
	s.Routes[0].Regions = []string{"west", "nowhere"}
	s.Customers[0].Regions = []string{"nowhere", "elsewhere"}
	table, err := New(s)
	assert.NilError(t, err)
	assert.DeepEqual(t, table.UnknownRegions([]string{"west", "east"}), []string{"elsewhere", "nowhere"})
}
