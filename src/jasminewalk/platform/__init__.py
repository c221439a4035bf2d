"""Names, formats and calls of the platform on which the system runs.

This package decodes the platform's wire formats into typed fields, so that no other
package depends on them. It makes no decisions about requests.
"""
