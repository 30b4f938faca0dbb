// Package operation runs non-idempotent calls at most once and never reports
// an operation as not run that was or may still be run.
//
// Table holds the tickets of one agent incarnation. A ticket is reserved
// without effect, then either moves to running exactly once, which sends one
// request to the backend server, or is cancelled for good. Because one table
// decides both, a confirmed cancel is proof that nothing was and nothing will
// be sent. The table is lost with its incarnation; a later incarnation finds
// none of its tickets and refuses to run them.
//
// Index binds idempotency keys to tickets by the first claim in log order.
// The log keeps a limited past and the index keeps limited memory, so a key
// carries its time of issue (it is a UUID of version 7). No claim of a key
// stands in the log before that time. The index therefore answers for a key
// exactly when it has seen all records since the key was issued, and refuses
// all other keys.
//
// Both are single values without locks, clocks or goroutines. The caller
// passes the time and carries out the actions that are returned.
package operation
