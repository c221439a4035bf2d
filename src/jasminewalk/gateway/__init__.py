"""Gateway: the process that relays requests from callers to engines."""
