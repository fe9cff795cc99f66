"""Types of fields in messages between instances, with their bounds.

A message from a faulty instance or another program version must not make this
one wait for days or store data without bound.
"""

from typing import Annotated

import msgspec

_MAX_NAME_LENGTH = 256
MAX_SECONDS = 3600.0
_MAX_ITEMS = 20_000

Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=_MAX_ITEMS)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]
PerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Mbps = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
Attempts = Annotated[int, msgspec.Meta(ge=0, le=1000)]
