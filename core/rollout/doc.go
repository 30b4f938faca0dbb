// Package rollout decides how a model version spreads over VMs: which chunk
// comes from where, and when a VM may serve the version.
package rollout
