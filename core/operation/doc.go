// Package operation runs non-idempotent calls at most once.
package operation
