"""A director among its peers, on sockets: membership, registers, takeovers, forwarding, the zone plan."""
