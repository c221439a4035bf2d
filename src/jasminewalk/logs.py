"""Set-up of the logs."""

import logging as standard_logging
import sys

from absl import flags, logging

__all__ = ["configure_logging"]


def configure_logging(verbosity: int = 0) -> None:
    """Write log lines to standard error.

    :param verbosity: 0 for information and worse, 1 for debugging too, -1 for
        warnings and worse.
    """
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    standard_logging.getLogger("uvicorn").setLevel(standard_logging.WARNING)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
