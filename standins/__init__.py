"""Stand-ins for the platform's log and targets, fleets and soak tests."""
