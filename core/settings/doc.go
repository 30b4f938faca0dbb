// Package settings folds the settings log into the state that is in force.
//
// Whether a record is accepted is a pure function of the log up to it, so
// every process that reads the same prefix reaches the same verdict and the
// same state. A record names the revision that it replaces; of racing
// records for one key the first in log order is accepted.
package settings
