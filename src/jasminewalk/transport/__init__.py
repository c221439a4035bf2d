"""HTTP and control messages exchanged between processes."""
