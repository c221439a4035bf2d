"""Gateway: the process between the platform's callers and the engines."""
