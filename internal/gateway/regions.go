package gateway

import (
	"slices"
	"strings"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// allowed returns the targets of a list that lie in the regions to which the route and the client account limit the request.
func (x *exchange) allowed(list []*targetset.Target) []*targetset.Target {
	if !x.hasRegionLimit() {
		return list
	}
	var out []*targetset.Target
	for _, t := range list {
		if x.mayReach(t.DataCentre) {
			out = append(out, t)
		}
	}
	return out
}

// hasRegionLimit reports whether the request may reach the data centres of some regions only.
func (x *exchange) hasRegionLimit() bool {
	return len(x.route.Regions) > 0 || x.account != nil && len(x.account.Regions) > 0
}

// mayReach reports whether the request may be sent to a data centre. A data centre of unknown region is in none of those that
// a limit names.
func (x *exchange) mayReach(dataCentre string) bool {
	region := x.g.Regions[dataCentre]
	for _, regions := range x.regionLimits() {
		if len(regions) > 0 && (region == "" || !slices.Contains(regions, region)) {
			return false
		}
	}
	return true
}

// regionLimits returns the limits of the route and of the client account. An empty one allows all regions.
func (x *exchange) regionLimits() [][]string {
	if x.account == nil {
		return [][]string{x.route.Regions}
	}
	return [][]string{x.route.Regions, x.account.Regions}
}

// regionLimit returns the limits as a string for comparison with those of other requests. It is empty without a limit.
func (x *exchange) regionLimit() string {
	if !x.hasRegionLimit() {
		return ""
	}
	var limits []string
	for _, regions := range x.regionLimits() {
		if len(regions) > 0 {
			limits = append(limits, strings.Join(regions, ","))
		}
	}
	return strings.Join(limits, "/")
}
