"""First module of the packed program: loads native code from memory.

It becomes `__main__` of the archive. Until its finder is installed, only
modules that are built into the interpreter or pure Python can be imported.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport

_ARCHIVE = sys.path[0]
_LIBRARIES = "native/libraries.txt"
_MODULES = "native/modules.txt"


class _Native:
    """Native code of the archive, put into in-memory files on demand.

    The files stay open: the dynamic loader takes a second library with the
    same path, here the number of a descriptor, for the first one.
    """

    def __init__(self) -> None:
        self._archive = zipimport.zipimporter(_ARCHIVE)

    def lines(self, member: str) -> list[str]:
        """Returns the lines of a text in the archive."""
        return self._archive.get_data(member).decode().splitlines()

    def put(self, member: str) -> str:
        """Returns a path at which a member of the archive can be loaded."""
        content = memoryview(self._archive.get_data(member))
        descriptor = os.memfd_create(member, os.MFD_CLOEXEC)
        while content:
            content = content[os.write(descriptor, content) :]
        return f"/proc/self/fd/{descriptor}"


def _load_library(native: _Native, member: str) -> None:
    """Loads a shared library that modules need.

    The modules' own references find it by its SONAME. The import fails,
    because a library is no module, but the library stays loaded. This needs
    no ctypes.
    """
    name = "library"
    loader = importlib.machinery.ExtensionFileLoader(name, native.put(member))
    spec = importlib.util.spec_from_loader(name, loader)
    try:
        loader.create_module(spec)
    except ImportError as error:
        if "module export function" not in str(error):
            raise


class _Finder:
    """Finds the extension modules of the archive."""

    def __init__(self, native: _Native) -> None:
        self._native = native
        self._member_by_module = dict(
            line.split(" ", 1) for line in native.lines(_MODULES)
        )
        self._libraries = native.lines(_LIBRARIES)

    def find_spec(self, fullname, path=None, target=None):
        """Returns the spec of an extension module of the archive."""
        del path, target
        member = self._member_by_module.get(fullname)
        if member is None:
            return None
        self._load_libraries()
        loader = importlib.machinery.ExtensionFileLoader(
            fullname, self._native.put(member)
        )
        return importlib.util.spec_from_loader(fullname, loader)

    def _load_libraries(self) -> None:
        """Loads all libraries before the first module, in their order."""
        flags = sys.getdlopenflags()
        sys.setdlopenflags(os.RTLD_NOW | os.RTLD_GLOBAL)
        while self._libraries:
            _load_library(self._native, self._libraries.pop(0))
        sys.setdlopenflags(flags)


sys.meta_path.insert(0, _Finder(_Native()))

from mallowloft import cli  # noqa: E402

sys.exit(cli.main())
