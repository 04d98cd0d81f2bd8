package catalog

import "slices"

// Residency restricts the regions in which a request may be served. The regions of its route and of
// its client account both apply.
type Residency struct {
	route   []string
	account []string
}

// ResidencyOf returns the residency of a route's request from a client account, which may be nil.
func ResidencyOf(route *Route, account *Account) Residency {
	r := Residency{route: route.Regions}
	if account != nil {
		r.account = account.Regions
	}
	return r
}

// Bound reports whether there is any restriction.
func (r Residency) Bound() bool { return len(r.route) > 0 || len(r.account) > 0 }

// Allows reports whether a request may be served in a region; "" stands for an unknown region.
func (r Residency) Allows(region string) bool {
	return allows(r.route, region) && allows(r.account, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
