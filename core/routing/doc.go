// Package routing makes two load-balancing decisions: Discover selects the
// entries that a caller should use, and a Pool chooses the backend server for a
// request. Package route, in contrast, looks up in the published configuration
// which service a request goes to; a Pool is used after that lookup.
//
// Both decisions are pure: they read no clock and do no I/O. A Pool has no
// mutex and is meant for one goroutine. Choosing a backend server allocates
// nothing and takes one pass over the members for each region and version that
// is considered, so there is no index to keep consistent while members come and
// go.
package routing
