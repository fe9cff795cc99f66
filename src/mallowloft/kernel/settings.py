"""Process settings from flags and environment variables."""

import argparse
from collections.abc import Mapping
import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import result

from mallowloft.kernel import findings as findings_lib

_ENVIRONMENT_PREFIX = "MALLOWLOFT_"

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Seconds = Annotated[float, pydantic.Field(ge=0, le=86_400)]


def _setting(help_text: str, default: Any = dataclasses.MISSING) -> Any:
    return dataclasses.field(default=default, metadata={"help": help_text})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one instance; the help texts describe each."""

    instance_id: Name = _setting("unique name of this instance")
    failure_domain: Name = _setting("failure domain of this instance")
    region: Name = _setting("region of this instance", "default")
    host: str = _setting("IP address to listen on", "127.0.0.1")
    caller_port: Port = _setting("port for callers (HTTP)", 8080)
    operator_port: Port = _setting("port for operators (HTTP)", 8081)
    peer_port: Port = _setting("port for other instances (ZeroMQ)", 8082)
    platform_url: str = _setting("base URL of the platform's services", "")
    peers: str = _setting(
        "instances known at start without the platform, comma-separated"
        " id@failure-domain=tcp://address:port",
        "",
    )
    dispatch: Literal["dispatcher", "direct"] = _setting(
        "dispatcher: one instance dispatches for a replica;"
        " direct: every instance calls replicas itself",
        "dispatcher",
    )
    hedging: bool = _setting("whether queries are hedged", True)
    preemption: bool = _setting(
        "whether a waiting higher class may cancel a running lower-class query",
        True,
    )
    stop_grace_s: Seconds = _setting("limit of a graceful stop, seconds", 20.0)
    drain_s: Seconds = _setting(
        "time a stopping instance still takes requests while it reports not"
        " ready, so that load balancers can notice, seconds",
        1.0,
    )
    key_lifetime_s: Seconds = _setting(
        "lifetime of an idempotency key, seconds", 900.0
    )
    max_body_bytes: Annotated[int, pydantic.Field(ge=1, le=64 << 20)] = (
        _setting("largest accepted request body, bytes", 1 << 20)
    )
    max_answer_bytes: Annotated[int, pydantic.Field(ge=1, le=1 << 30)] = (
        _setting("largest answer to a query, bytes", 64 << 20)
    )
    tls_certificate: str = _setting("PEM certificate chain for callers", "")
    tls_private_key: str = _setting("PEM private key for callers", "")
    log_level: Literal["debug", "info", "warning", "error"] = _setting(
        "lowest level that is logged", "info"
    )


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds a flag for each setting; values stay strings until `load`."""
    for field in dataclasses.fields(Settings):
        required = field.default is dataclasses.MISSING
        default = "required" if required else f"default: {field.default!r}"
        variable = _ENVIRONMENT_PREFIX + field.name.upper()
        parser.add_argument(
            _flag(field.name),
            metavar="VALUE",
            help=f"{field.metadata['help']} ({variable}; {default})",
        )


def load(
    flags: argparse.Namespace, environment: Mapping[str, str]
) -> result.Result[Settings, findings_lib.Findings]:
    """Reads and checks the settings; a flag goes before its variable.

    Args:
        flags: Parsed arguments, as added by `add_arguments`.
        environment: Environment variables.

    Returns:
        The settings, or every fault with the flag it belongs to.
    """
    values = {}
    for field in dataclasses.fields(Settings):
        value = getattr(flags, field.name, None)
        if value is None:
            value = environment.get(_ENVIRONMENT_PREFIX + field.name.upper())
        if value is not None:
            values[field.name] = value
    findings = findings_lib.Findings()
    settings = None
    try:
        settings = pydantic.TypeAdapter(Settings).validate_python(values)
    except pydantic.ValidationError as error:
        for item in error.errors(include_url=False):
            findings.add(_flag(str(item["loc"][0])), item["msg"])
    if bool(values.get("tls_certificate")) != bool(
        values.get("tls_private_key")
    ):
        findings.add(
            "--tls-certificate", "needs --tls-private-key, and the reverse"
        )
    if settings is None or not findings.ok:
        return result.Err(findings)
    return result.Ok(settings)
