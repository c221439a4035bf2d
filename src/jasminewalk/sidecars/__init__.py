"""The process beside each endpoint: final admission, orders, claims."""
