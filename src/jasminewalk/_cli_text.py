"""Command-line arguments that are always text."""

from collections.abc import Callable
from typing import Any

import fire.decorators

__all__ = ["text_arguments"]

# Fire stores its metadata in an attribute of the command, and its help would list a
# public attribute as a group of commands.
fire.decorators.FIRE_METADATA = "_fire_metadata"


def text_arguments(*names: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Create a decorator for commands whose named arguments are always text.

    Fire parses other arguments as Python literals, so that ``--reason "cups, caps"``
    would become a tuple.

    :param names: names of the arguments.
    """
    decorate: Callable[[Callable[..., Any]], Callable[..., Any]] = (
        fire.decorators.SetParseFn(str, *names)
    )
    return decorate
