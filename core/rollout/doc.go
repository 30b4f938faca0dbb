// Package rollout decides how a model version spreads over VMs: which chunk
// comes from where, and when a VM may serve the version.
//
// The package has four parts, each a plain value without I/O, clock or
// goroutine:
//
//   - Manifest lists the chunks of a version. ParseManifest refuses every
//     manifest that does not describe one gapless version.
//   - Tree orders the agents for each chunk. Within a region they form a tree
//     of fan-out 2; regions form a chain that starts at the origin's region.
//   - Planner picks the source of the next attempt for each chunk and sets
//     aside sources that refused, lied or made no progress.
//   - Machine is the version state of one agent. All state changes go through
//     it, and it asserts that only whole, confirmed versions are served.
package rollout
