"""Registries of named implementations, filled by decorators.

There are two kinds of instance: one serves callers' queries, the other routes
requests whose content it does not interpret.
"""

from collections.abc import Callable
import importlib
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one kind, by name.

    Attributes:
        kind: Kind of the implementations, used in error messages.
        by_name: The registered implementations by name.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers an implementation.

        Args:
            name: Name that is unique within this registry.

        Raises:
            ValueError: The name is already registered.
        """

        def decorate(implementation: T) -> T:
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self.by_name[name] = implementation
            return implementation

        return decorate


plugins: Registry[type] = Registry("plug-in")

# Importing a module registers its plug-ins. Packaging tools such as PyInstaller
# do not detect these imports and need the names as hidden imports.
_QUERY_PLUGIN_MODULES = (
    "mallowloft.callers.operators",
    "mallowloft.peers",
    "mallowloft.configuration.service",
    "mallowloft.membership.service",
    "mallowloft.upstream.http",
    "mallowloft.dispatch.service",
    "mallowloft.gather.service",
    "mallowloft.submissions.service",
    "mallowloft.callers.service",
)
_ROUTING_PLUGIN_MODULES = (
    "mallowloft.callers.operators",
    "mallowloft.routes.fleet",
    "mallowloft.routes.service",
    "mallowloft.routes.hub_server",
    "mallowloft.routes.collector",
)


def load_query_plugins() -> None:
    """Imports the plug-in modules of an instance that serves queries."""
    for module in _QUERY_PLUGIN_MODULES:
        importlib.import_module(module)


def load_routing_plugins() -> None:
    """Imports the plug-in modules of an instance that routes requests.

    The program that runs the instance also imports the module of the plug-in
    that is the source of routes and replicas.
    """
    for module in _ROUTING_PLUGIN_MODULES:
        importlib.import_module(module)
