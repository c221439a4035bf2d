"""Sidecars of the endpoints, which admit requests and handle orders and claims."""
