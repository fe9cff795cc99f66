"""Types of the settings, with the constraints that pydantic validates."""

from typing import Annotated

import pydantic

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Seconds = Annotated[float, pydantic.Field(ge=0, le=86_400)]
BodyBytes = Annotated[int, pydantic.Field(ge=1, le=8 << 20)]
AnswerBytes = Annotated[int, pydantic.Field(ge=1, le=1 << 30)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
NonNegativeNumber = Annotated[float, pydantic.Field(ge=0, le=1_000_000)]
Price = Annotated[float, pydantic.Field(ge=0, le=1_000)]
