// Package operation runs non-idempotent calls at most once and reports an
// operation as not run only if it was not run and never will be.
//
// Table holds the tickets of one agent incarnation. Reserving a ticket has no
// effect on the backend server. A reserved ticket then either moves to running
// exactly once, which sends one request to the backend server, or is cancelled
// for good. Because the same table decides on both transitions, a confirmed
// cancel proves that no request was or will be sent. The table is lost when
// the incarnation ends; a later incarnation finds none of its tickets and
// refuses to run them.
//
// Index maps each idempotency key to the ticket of the key's first claim in
// log order. The log has a limited retention and the index a limited size, so
// a key carries its time of issue (it is a UUID of version 7). No claim of a
// key is in the log before that time. The index therefore knows the state of
// a key only if it has read and kept all records since the key was issued, and
// reports the state of all other keys as unknown.
//
// Table and Index have no locks, clocks or goroutines. The caller serializes
// access, passes the current time and carries out the returned actions.
package operation
