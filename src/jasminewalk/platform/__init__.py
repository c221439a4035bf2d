"""Names, formats and calls of the platform on which the system runs.

This package decodes all wire names of the platform into typed fields; no other package
uses them. It makes no decisions about requests.
"""
