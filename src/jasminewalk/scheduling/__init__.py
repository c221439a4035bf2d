"""Scheduling of requests: routing, queueing, admission and engine roles."""
