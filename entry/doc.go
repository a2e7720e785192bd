// Package entry serves the public API on every VM of the cell. It authenticates
// calls and limits load before it forwards them to the leader, and holds no
// authoritative state.
package entry
