"""What operators use: configuration, publication, status."""
