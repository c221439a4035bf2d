"""Demonstration: the whole system as tasks of one process."""
