"""The whole system as tasks of one process."""
