package catalog

import "slices"

// Residency says in which regions a request may be served: those of its route and of its client
// account, both of which bind.
type Residency struct {
	route   []string
	account []string
}

// ResidencyOf returns that of a route's request, for a client account or nil.
func ResidencyOf(route *Route, account *Account) Residency {
	r := Residency{route: route.Regions}
	if account != nil {
		r.account = account.Regions
	}
	return r
}

// Bound reports whether some region may be left out.
func (r Residency) Bound() bool { return len(r.route) > 0 || len(r.account) > 0 }

// Allows reports whether a request may be served in a region; "" is one that is not known.
func (r Residency) Allows(region string) bool {
	return allows(r.route, region) && allows(r.account, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
