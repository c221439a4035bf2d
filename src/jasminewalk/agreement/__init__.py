"""State that processes agree on through the log: configuration, orders, claims."""
