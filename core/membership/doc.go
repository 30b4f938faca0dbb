// Package membership keeps a view of entries and agents from the platform's
// lagging list and from the members' own reports.
package membership
