package relay

// Kill closes the listener and cuts all connections, as the death of the VM behind it
// would; what was sent on before goes on.
func (r *Relay) Kill() { r.close() }
