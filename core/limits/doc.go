// Package limits bounds what the system takes on: fair queues, adaptive
// concurrency, token buckets and retry budgets.
package limits
