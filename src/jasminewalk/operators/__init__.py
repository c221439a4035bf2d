"""Configuration, its publication, and the status of the fleet, for operators."""
