"""HTTP on sockets: client connections, upstream connections, discovery and counter. Decides nothing."""
