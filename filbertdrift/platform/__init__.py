"""The adapter for the users' platform: names, formats and calls, no choices."""
