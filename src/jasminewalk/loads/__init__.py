"""Generate open-loop load and report its results."""
