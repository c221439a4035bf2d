"""Entry daemon: API for callers, attempts and resumption of streams."""
