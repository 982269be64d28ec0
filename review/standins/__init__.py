"""Stand-ins for the platform's store, backends and clients."""
