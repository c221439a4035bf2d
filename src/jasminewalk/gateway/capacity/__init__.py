"""How much each endpoint takes well, and what waits until one takes more."""

from jasminewalk.gateway.capacity.learnt_limit import LearntLimit
from jasminewalk.gateway.capacity.waiting_line import WaitingLine

__all__ = ["LearntLimit", "WaitingLine"]
