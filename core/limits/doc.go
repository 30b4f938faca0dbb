// Package limits bounds what the system takes on: fair queues, adaptive
// concurrency, token buckets and retry budgets.
//
// Nothing here reads a clock or starts a goroutine. Every structure that a
// caller can make grow has a fixed bound, and what happens at the bound is
// part of its contract.
package limits
