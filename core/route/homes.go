package route

import (
	"slices"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// Regions returns the regions in which a request may be served. Where the route and
// the workspace both have homes, both bind. The workspace may be nil.
func Regions(r *Route, w *Workspace) eligibility.Regions {
	regions := eligibility.OnlyIn(r.Homes)
	if w != nil {
		regions = regions.And(eligibility.OnlyIn(w.Homes))
	}
	return regions
}

// DirectoryRegions returns the regions whose entries the directory may name to a caller
// of a host, beside those of the caller's own region. The directory knows the host
// but not the route: if routes differ, these are the regions that all of them allow
// or, if there are none, those that one of them allows.
func (t *Table) DirectoryRegions(host string) eligibility.Regions {
	return t.directoryRegions[normalizeHost(host)]
}

// indexHomes fills directoryRegions.
func (t *Table) indexHomes() {
	t.directoryRegions = map[string]eligibility.Regions{}
	for host, routes := range t.routesByHost {
		common, any := eligibility.Everywhere, []string{}
		for _, r := range routes {
			common = common.And(eligibility.OnlyIn(r.route.Homes))
			any = append(any, r.route.Homes...)
		}
		if !common.Restricted() {
			continue
		}
		if len(common.Names()) == 0 {
			common = eligibility.OnlyIn(any)
		}
		t.directoryRegions[host] = common
	}
}

// UnknownHomes returns the homes, of routes and workspaces, that are none of the given
// regions.
func (c Configuration) UnknownHomes(regions []string) (unknown []string) {
	check := func(homes []string) {
		for _, home := range homes {
			if !slices.Contains(regions, home) && !slices.Contains(unknown, home) {
				unknown = append(unknown, home)
			}
		}
	}
	for i := range c.Routes {
		check(c.Routes[i].Homes)
	}
	for i := range c.Workspaces {
		check(c.Workspaces[i].Homes)
	}
	return unknown
}
