"""The entry: callers' interface, attempts and resumption."""
