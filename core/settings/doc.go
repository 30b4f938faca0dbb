// Package settings applies the records of the settings log, in log order, to
// the settings state that is in force.
//
// Whether a record is accepted is a pure function of that record and of the
// log before it, so all processes that read the same prefix of the log reach
// the same verdicts and the same state. A record names the revision that it
// replaces; of concurrent records for one key, the first in log order is
// accepted.
package settings
