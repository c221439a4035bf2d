"""Where requests go and when: routing, queueing, admission, roles."""
