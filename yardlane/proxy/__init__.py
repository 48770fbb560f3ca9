"""HTTP on sockets: client and upstream connections, discovery and the shared counter. Makes no decisions."""
