"""Compare scheduling policies on a simulated fleet."""
