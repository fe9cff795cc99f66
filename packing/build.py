"""Packs the interpreter, standard library and program into one ELF file.

The file is a small launcher followed by a ZIP archive. The archive contains the
standard library and all other modules as byte code, the extension modules,
libpython, and the shared libraries that the extension modules need, except
those of the C library.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import importlib.metadata
import os
import pathlib
import py_compile
import re
import shutil
import struct
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

from packaging import requirements

_PACKING_DIRECTORY = pathlib.Path(__file__).resolve().parent
_SOURCE = _PACKING_DIRECTORY.parent / "src"
_PROGRAM = "mallowloft"
# Path components that are skipped in the standard library, the program and the
# distributions: modules that a server does not use, and folders that are added
# separately (lib-dynload, site-packages).
_EXCLUDED_PARTS = frozenset(
    (
        "__pycache__",
        "_tkinter",
        "config",
        "ensurepip",
        "idlelib",
        "lib-dynload",
        "lib2to3",
        "pydoc_data",
        "site-packages",
        "sqlite3",
        "test",
        "tests",
        "tkinter",
        "turtledemo",
        "venv",
    )
)
# Extension modules that a server does not use, matched by prefix.
_EXCLUDED_EXTENSION = re.compile(
    r"_?(test|xx|tkinter|curses|sqlite3|crypt|dbm|gdbm|nis|ossaudiodev|readline"
    r"|ctypes_test)"
)
# Shared libraries of the C library (glibc). They are not packed, because they
# must match the dynamic loader of the system.
_SYSTEM_LIBRARY = re.compile(
    r"(linux-vdso|ld-linux.*|lib(c|m|dl|rt|pthread|util|resolv))\.so.*"
)
_MODULE_SUFFIX = re.compile(r"\.(cpython-\d+-[^.]+|abi3)\.so$|\.so$")
# Fixed, so that the archive does not depend on the time of the build.
_MEMBER_TIMESTAMP = (2020, 1, 1, 0, 0, 0)


def _distributions() -> Iterator[importlib.metadata.Distribution]:
    """Yields the direct and indirect run-time dependencies of the program."""
    pending = [_PROGRAM]
    seen = set()
    while pending:
        name = re.sub(r"[-_.]+", "-", pending.pop()).lower()
        if name in seen:
            continue
        seen.add(name)
        distribution = importlib.metadata.distribution(name)
        if name != _PROGRAM:
            yield distribution
        for line in distribution.requires or ():
            needed = requirements.Requirement(line)
            if needed.marker is None or needed.marker.evaluate({"extra": ""}):
                pending.append(needed.name)


class _Archive:
    """Writes the ZIP archive and records the native code in it."""

    def __init__(
        self, file: zipfile.ZipFile, scratch_directory: pathlib.Path
    ) -> None:
        self._file = file
        self._scratch_directory = scratch_directory
        self._member_by_module: dict[str, str] = {}
        self._native_paths: list[pathlib.Path] = []

    def add_standard_library(self) -> None:
        """Adds the standard library and its extension modules."""
        root = pathlib.Path(sysconfig.get_path("stdlib"))
        self._add_tree(root, root)
        extensions = root / "lib-dynload"
        for path in sorted(extensions.glob("*.so")):
            if not _EXCLUDED_EXTENSION.match(path.name):
                content = _stripped(path, self._scratch_directory)
                self._add_extension(path, path.relative_to(extensions), content)

    def add_program(self) -> None:
        """Adds the program and its start module."""
        self._add_tree(_SOURCE, _SOURCE / _PROGRAM)
        self._add_module(_PACKING_DIRECTORY / "bootstrap.py", "__main__.py")

    def add_distribution(
        self, distribution: importlib.metadata.Distribution
    ) -> None:
        """Adds the modules and metadata of an installed distribution."""
        for file in distribution.files or ():
            path = pathlib.Path(distribution.locate_file(file))
            relative = pathlib.Path(str(file))
            if ".." in relative.parts or _EXCLUDED_PARTS & set(relative.parts):
                continue
            if path.suffix == ".py":
                self._add_module(path, str(relative))
            elif path.suffix == ".so" and "_testcapi" not in path.name:
                self._add_extension(path, relative, path.read_bytes())
            elif path.name in ("METADATA", "entry_points.txt"):
                self._write(str(relative), path.read_bytes())

    def add_shared_libraries(self) -> None:
        """Adds the shared libraries and the lists that bootstrap.py reads."""
        members = []
        for path in _needed_libraries(self._native_paths):
            member = f"native/{path.name}"
            self._write(member, path.read_bytes())
            members.append(member)
        self._write("native/libraries.txt", "\n".join(members).encode())
        modules = (
            f"{module} {member}"
            for module, member in sorted(self._member_by_module.items())
        )
        self._write("native/modules.txt", "\n".join(modules).encode())

    def add_libpython(self) -> tuple[int, int]:
        """Adds libpython and returns its offset and size in the file."""
        content = _stripped(_libpython(), self._scratch_directory)
        member = "native/libpython.so"
        self._write(member, content)
        info = self._file.getinfo(member)
        # The local file header has 30 bytes and the name of the member. It has
        # no extra field, because the file is too small to need ZIP64.
        header_size = 30 + len(member)
        return info.header_offset + header_size, len(content)

    def _add_tree(self, root: pathlib.Path, directory: pathlib.Path) -> None:
        for path in sorted(directory.rglob("*.py")):
            relative = path.relative_to(root)
            if not _EXCLUDED_PARTS & set(relative.parts):
                self._add_module(path, str(relative))

    def _add_module(self, path: pathlib.Path, name: str) -> None:
        compiled = self._scratch_directory / "module.pyc"
        try:
            py_compile.compile(
                str(path),
                str(compiled),
                dfile=name,
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
        except py_compile.PyCompileError:
            # Skips files that do not compile, such as templates and examples. A
            # module of the program with a syntax error is skipped as well.
            return
        self._write(f"{name}c", compiled.read_bytes())

    def _add_extension(
        self, path: pathlib.Path, relative: pathlib.Path, content: bytes
    ) -> None:
        module = _MODULE_SUFFIX.sub("", str(relative)).replace("/", ".")
        member = f"native/modules/{relative}"
        self._write(member, content)
        self._member_by_module[module] = member
        self._native_paths.append(path)

    def _write(self, name: str, content: bytes) -> None:
        # Members are not compressed, because zlib itself is in the archive.
        info = zipfile.ZipInfo(name, _MEMBER_TIMESTAMP)
        self._file.writestr(info, content)


def _libpython() -> pathlib.Path:
    name = sysconfig.get_config_var("LDLIBRARY")
    directory = sysconfig.get_config_var("LIBDIR")
    path = pathlib.Path(directory, name)
    if path.suffix == ".a" or not path.exists():
        raise SystemExit(
            f"{path}: the build needs a Python with a shared libpython"
        )
    return path.resolve()


def _stripped(path: pathlib.Path, scratch_directory: pathlib.Path) -> bytes:
    """Returns the content of a shared library without debug information.

    If strip is not installed, returns the unchanged content.

    Only files of the interpreter are stripped. Wheels contain libraries with a
    patched layout, which strip may damage.
    """
    copy = scratch_directory / "stripped"
    shutil.copyfile(path, copy)
    if shutil.which("strip"):
        subprocess.run(["strip", "--strip-debug", str(copy)], check=True)
    return copy.read_bytes()


def _linked_libraries(path: pathlib.Path) -> dict[str, pathlib.Path]:
    """Returns the shared libraries that a file needs, by SONAME."""
    listing = subprocess.run(
        ["ldd", str(path)], capture_output=True, text=True, check=True
    ).stdout
    pairs = re.findall(r"(\S+) => (/\S+)", listing)
    return {
        name: pathlib.Path(target)
        for name, target in pairs
        if not _SYSTEM_LIBRARY.fullmatch(name)
        and not name.startswith("libpython")
    }


def _needed_libraries(
    roots: Iterable[pathlib.Path],
) -> list[pathlib.Path]:
    """Returns all needed libraries, each after its own dependencies."""
    ordered: dict[str, pathlib.Path] = {}

    def visit(path: pathlib.Path) -> None:
        for name, target in _linked_libraries(path).items():
            if name not in ordered:
                visit(target)
                ordered.setdefault(name, target)

    for root in roots:
        visit(root)
    return list(ordered.values())


def _compile_launcher(target: pathlib.Path) -> None:
    compiler = shutil.which(os.environ.get("CC", "cc"))
    if compiler is None:
        raise SystemExit("the build needs a C compiler (cc, or set CC)")
    include = sysconfig.get_path("include")
    subprocess.run(
        [
            compiler,
            "-O2",
            "-s",
            "-Wall",
            "-Wextra",
            f"-I{include}",
            str(_PACKING_DIRECTORY / "launcher.c"),
            "-o",
            str(target),
            "-ldl",
        ],
        check=True,
    )


def build(target: pathlib.Path) -> None:
    """Builds the executable file at the target path."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        scratch_directory = pathlib.Path(directory)
        packed = scratch_directory / _PROGRAM
        _compile_launcher(packed)
        with zipfile.ZipFile(packed, "a") as file:
            archive = _Archive(file, scratch_directory)
            libpython_location = archive.add_libpython()
            archive.add_standard_library()
            for distribution in _distributions():
                archive.add_distribution(distribution)
            archive.add_program()
            archive.add_shared_libraries()
            file.comment = struct.pack("=QQ", *libpython_location)
        packed.chmod(0o755)
        shutil.move(packed, target)
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")


def main() -> int:
    """Builds the file given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target", type=pathlib.Path)
    build(parser.parse_args().target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
