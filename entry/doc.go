// Package entry serves the public schema on every VM of the system. It
// authenticates and bounds calls early, forwards them to the leader and keeps
// no truth of its own.
package entry
