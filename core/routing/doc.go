// Package routing decides which entry a caller should use and which backend
// server a request goes to.
//
// Both decisions are pure: they read no clock and do no I/O. A Pool is one
// value without a mutex, meant for one goroutine. Choosing a backend server
// allocates nothing and takes one pass over the members, so that there is
// no index to keep consistent while members come and go.
package routing
