// Package routing decides which entry a caller should use and which backend
// server a request goes to.
package routing
