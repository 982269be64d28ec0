"""Stand-ins of the third review: the platform, servers and clients."""
