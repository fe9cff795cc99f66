"""Registries that decorators fill."""

from collections.abc import Callable
import importlib
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind of behaviour.

    Attributes:
        kind: What the registry holds, used in error messages.
        by_name: The registered implementations.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers an implementation.

        Args:
            name: Unique name within this registry.

        Raises:
            ValueError: The name is already taken.
        """

        def decorate(implementation: T) -> T:
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self.by_name[name] = implementation
            return implementation

        return decorate


plugins: Registry[type] = Registry("plug-in")

# Importing a module registers its plug-ins. PyInstaller-like packers and
# newcomers can see from these lists what a process is made of.
_QUERY_MODULES = (
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
_ROUTED_MODULES = (
    "mallowloft.callers.operators",
    "mallowloft.routes.fleet",
    "mallowloft.routes.service",
    "mallowloft.routes.hub_server",
)


def load_plugins() -> None:
    """Imports every module with a plug-in of an instance for queries."""
    for module in _QUERY_MODULES:
        importlib.import_module(module)


def load_routed_plugins() -> None:
    """Imports the modules of an instance that serves opaque requests.

    The source of routes and replicas is a further plug-in.
    """
    for module in _ROUTED_MODULES:
        importlib.import_module(module)
