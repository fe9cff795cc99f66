"""Start module of the packed program; loads native code from memory.

The module is `__main__` of the archive. Until it has installed its finder, only
built-in and pure Python modules can be imported.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport

_ARCHIVE = sys.path[0]
_LIBRARY_LIST = "native/libraries.txt"
_MODULE_LIST = "native/modules.txt"


class _NativeFiles:
    """Copies native code from the archive to in-memory files on demand.

    The files stay open, so that no descriptor number is used twice. The path of
    a file contains that number, and the dynamic loader identifies a library by
    its path: it would not load a second one with the same path.
    """

    def __init__(self) -> None:
        self._archive = zipimport.zipimporter(_ARCHIVE)

    def read_lines(self, member: str) -> list[str]:
        """Returns the lines of a text file in the archive."""
        return self._archive.get_data(member).decode().splitlines()

    def copy_to_memory(self, member: str) -> str:
        """Copies a member to an in-memory file and returns its path."""
        remaining = memoryview(self._archive.get_data(member))
        descriptor = os.memfd_create(member, os.MFD_CLOEXEC)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        return f"/proc/self/fd/{descriptor}"


def _load_library(native: _NativeFiles, member: str) -> None:
    """Loads a shared library that extension modules need.

    The library is loaded as if it were an extension module. That import fails,
    but the library stays loaded, and the dynamic loader finds it by its SONAME
    when it loads the extension modules. This does not need ctypes.
    """
    name = "library"
    loader = importlib.machinery.ExtensionFileLoader(
        name, native.copy_to_memory(member)
    )
    spec = importlib.util.spec_from_loader(name, loader)
    try:
        loader.create_module(spec)
    except ImportError as error:
        if "module export function" not in str(error):
            raise


class _Finder:
    """Meta path finder for the extension modules of the archive."""

    def __init__(self, native: _NativeFiles) -> None:
        self._native = native
        self._member_by_module = dict(
            line.split(" ", 1) for line in native.read_lines(_MODULE_LIST)
        )
        self._libraries = native.read_lines(_LIBRARY_LIST)

    def find_spec(self, fullname, path=None, target=None):
        """Returns the spec of an extension module of the archive."""
        del path, target
        member = self._member_by_module.get(fullname)
        if member is None:
            return None
        self._load_libraries()
        loader = importlib.machinery.ExtensionFileLoader(
            fullname, self._native.copy_to_memory(member)
        )
        return importlib.util.spec_from_loader(fullname, loader)

    def _load_libraries(self) -> None:
        """Loads all libraries in the listed order, before the first module."""
        flags = sys.getdlopenflags()
        sys.setdlopenflags(os.RTLD_NOW | os.RTLD_GLOBAL)
        while self._libraries:
            _load_library(self._native, self._libraries.pop(0))
        sys.setdlopenflags(flags)


sys.meta_path.insert(0, _Finder(_NativeFiles()))

from mallowloft import cli  # noqa: E402

sys.exit(cli.main())
