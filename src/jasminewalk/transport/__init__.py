"""HTTP and control messages between processes."""
