"""Configuration of logging."""

import logging as standard_logging
import sys

from absl import flags, logging

__all__ = ["configure_logging"]


def configure_logging(verbosity: int = 0) -> None:
    """Write log lines to standard error.

    :param verbosity: lowest level that is logged: 1 for debug, 0 for info, -1 for
        warning.
    """
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    standard_logging.getLogger("uvicorn").setLevel(standard_logging.WARNING)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
