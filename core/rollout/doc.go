// Package rollout decides how a model version spreads over VMs: which chunk
// comes from where, and when a VM may serve the version.
//
// The package does no I/O, reads no clock and starts no goroutine. Its main
// parts are:
//
//   - Manifest lists the chunks of a version. ParseManifest refuses every
//     manifest that does not describe one gapless version.
//   - Tree orders the agents for each chunk. Within a region they form a tree
//     of fan-out 2; regions form a chain that starts at the origin's region.
//   - Planner picks the source of the next attempt for each chunk and backs
//     off from sources that refused, sent corrupt data or made no progress.
//   - Swarm picks the next piece that an agent requests, and its source, when
//     agents of a region exchange pieces instead of following a tree.
//   - Turn limits how many agents of a region load a version at once.
//   - StateMachine holds the version state of one agent. It asserts that only
//     verified versions that the engine has confirmed are served.
package rollout
