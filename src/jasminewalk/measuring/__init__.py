"""Measuring policies on a model of the fleet."""
