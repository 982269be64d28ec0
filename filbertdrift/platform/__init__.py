"""The platform adapter: translates names, formats and calls; has no policy."""
