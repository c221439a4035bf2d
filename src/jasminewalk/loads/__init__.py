"""Open-loop load and its reports."""
