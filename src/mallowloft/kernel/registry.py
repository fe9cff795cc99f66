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
# newcomers can see from this list what a process is made of.
_PLUGIN_MODULES = (
    "mallowloft.peers",
    "mallowloft.configuration.service",
    "mallowloft.membership.service",
    "mallowloft.upstream.http",
    "mallowloft.dispatch.service",
    "mallowloft.gather.service",
    "mallowloft.submissions.service",
    "mallowloft.callers.service",
)


def load_plugins() -> None:
    """Imports every module that registers plug-ins."""
    for module in _PLUGIN_MODULES:
        importlib.import_module(module)
