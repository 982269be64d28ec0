"""The platform adapter: translates names, formats and calls, no policy."""
