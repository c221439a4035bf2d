"""Arguments of the command line that are taken as text, whatever they look like."""

from collections.abc import Callable
from typing import Any

import fire.decorators

__all__ = ["text_arguments"]

# The help lists public attributes of a command as groups of commands.
fire.decorators.FIRE_METADATA = "_fire_metadata"


def text_arguments(*names: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator for a command with arguments that are not Python literals.

    Without it ``--reason "cups, caps"`` would be a tuple.

    :param names: names of the arguments.
    """
    decorate: Callable[[Callable[..., Any]], Callable[..., Any]] = (
        fire.decorators.SetParseFn(str, *names)
    )
    return decorate
