package relay

// Kill closes the listener and all connections, as a crash of the VM behind the relay would.
// Data that was forwarded before is still delivered.
func (r *Relay) Kill() { r.close() }
