"""Serving system for language-model work on a fixed fleet of engines.

The names in ``__all__`` are the public API; all others are internal. They are
imported on first use, so that short commands do not load the whole package.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from jasminewalk.agreement.fold import LogFold
    from jasminewalk.clock import Clock, ManualClock, SystemClock
    from jasminewalk.exceptions import JasminewalkError, RefusedError
    from jasminewalk.generated_codes import RESULTS, Code
    from jasminewalk.generated_settings import EntrySettings, SidecarSettings
    from jasminewalk.ingress.entry import EntryDaemon
    from jasminewalk.interfaces import Engine, InstanceList, Log, Service, WeightStore
    from jasminewalk.operators.configuration import ConfigurationView
    from jasminewalk.scheduling.queueing import EndpointQueue, QueueSettings
    from jasminewalk.scheduling.roles import RolePlanner, RoleSettings
    from jasminewalk.scheduling.routing import Router, RoutingSettings
    from jasminewalk.sidecars.sidecar import SidecarDaemon
    from jasminewalk.types import Candidate, Refusal, RequestProfile, Route

__all__ = [
    "Candidate",
    "Clock",
    "Code",
    "ConfigurationView",
    "EndpointQueue",
    "Engine",
    "EntryDaemon",
    "EntrySettings",
    "InstanceList",
    "JasminewalkError",
    "Log",
    "LogFold",
    "ManualClock",
    "QueueSettings",
    "RESULTS",
    "Refusal",
    "RefusedError",
    "RequestProfile",
    "RolePlanner",
    "RoleSettings",
    "Route",
    "Router",
    "RoutingSettings",
    "Service",
    "SidecarDaemon",
    "SidecarSettings",
    "SystemClock",
    "WeightStore",
]

_NAMES_BY_MODULE = {
    "clock": ("Clock", "ManualClock", "SystemClock"),
    "operators.configuration": ("ConfigurationView",),
    "ingress.entry": ("EntryDaemon",),
    "exceptions": ("JasminewalkError", "RefusedError"),
    "agreement.fold": ("LogFold",),
    "generated_codes": ("RESULTS", "Code"),
    "generated_settings": ("EntrySettings", "SidecarSettings"),
    "interfaces": ("Engine", "InstanceList", "Log", "Service", "WeightStore"),
    "scheduling.queueing": ("EndpointQueue", "QueueSettings"),
    "scheduling.roles": ("RolePlanner", "RoleSettings"),
    "scheduling.routing": ("Router", "RoutingSettings"),
    "sidecars.sidecar": ("SidecarDaemon",),
    "types": ("Candidate", "Refusal", "RequestProfile", "Route"),
}


def __getattr__(name: str) -> Any:
    """Import a public name on first use.

    :param name: the name.
    :raises AttributeError: if the name is not public.
    """
    for module, names in _NAMES_BY_MODULE.items():
        if name in names:
            return getattr(import_module(f"jasminewalk.{module}"), name)
    raise AttributeError(f"module 'jasminewalk' has no attribute {name!r}")
