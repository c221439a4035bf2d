"""Serving system for language-model work on a fixed fleet of engines."""
