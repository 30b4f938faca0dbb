// Package limits provides structures that limit load: fair queues, adaptive
// concurrency limits, token buckets and retry budgets.
//
// The package reads no clock and starts no goroutines. Every structure that
// grows with its input has a fixed bound, and its documentation says what
// happens when the bound is reached.
package limits
