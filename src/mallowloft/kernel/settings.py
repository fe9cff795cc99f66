"""Settings of a process, from flags and environment variables."""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import ipaddress
import re
import socket
import typing
from typing import TYPE_CHECKING
from typing import Any
from typing import Literal
import urllib.parse

import result

from mallowloft.kernel import findings as findings_lib

if TYPE_CHECKING:
    # At run time these types are imported only where settings are validated. A
    # process that constructs `Settings` itself saves the memory of pydantic.
    from mallowloft.kernel.setting_types import AnswerBytes
    from mallowloft.kernel.setting_types import BodyBytes
    from mallowloft.kernel.setting_types import Name
    from mallowloft.kernel.setting_types import NonNegativeNumber
    from mallowloft.kernel.setting_types import Port
    from mallowloft.kernel.setting_types import Price
    from mallowloft.kernel.setting_types import Seconds
    from mallowloft.kernel.setting_types import Share

_ENVIRONMENT_PREFIX = "MALLOWLOFT_"


def _setting(help_text: str, default: Any = dataclasses.MISSING) -> Any:
    return dataclasses.field(default=default, metadata={"help": help_text})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one instance; each is described by its help text."""

    instance_id: Name = _setting("unique name of this instance")
    failure_domain: Name = _setting("failure domain of this instance")
    region: Name = _setting("region of this instance", "default")
    host: str = _setting("IP address to listen on", "127.0.0.1")
    caller_port: Port = _setting("port for callers (HTTP)", 8080)
    operator_port: Port = _setting("port for operators (HTTP)", 8081)
    metrics_port: Port = _setting(
        "additional port for operators, 0 for none (HTTP)", 0
    )
    ready_path: str = _setting(
        "additional path on the operators' port that reports readiness",
        "/readyz",
    )
    fleet_port: Port = _setting(
        "port for the reports of other instances if this instance is a seed, 0"
        " for none (HTTP)",
        0,
    )
    seeds: str = _setting(
        "instances that all instances report to, comma-separated address:port",
        "",
    )
    link_mbps: NonNegativeNumber = _setting(
        "bandwidth of this instance's network link, Mbit/s; 0 if unknown", 0.0
    )
    memory_mb: NonNegativeNumber = _setting(
        "memory of this instance, MiB, a part of which the connections of"
        " clients may hold; 0 if unknown",
        0.0,
    )
    max_descriptors: NonNegativeNumber = _setting(
        "file descriptors of this instance, parts of which the connections of"
        " clients may use; 0 for the limit of the operating system",
        0.0,
    )
    hubs_above: NonNegativeNumber = _setting(
        "number of instances above which a few hubs read the source of routes"
        " for the others and gather answers for instances with slow links",
        20,
    )
    collect_above: NonNegativeNumber = _setting(
        "number of shards of a request in another failure domain above which"
        " their parts are collected by an instance there",
        2,
    )
    crossing: bool = _setting(
        "whether first attempts leave the failure domain by shares that follow"
        " the marginal cost; otherwise a constant cost decides",
        False,
    )
    crossing_price_ms_per_kb: Price = _setting(
        "milliseconds of delay that a kilobyte sent to another failure domain"
        " is worth",
        0.2,
    )
    caller_round_trip_s: NonNegativeNumber = _setting(
        "round-trip time to callers whose connections have measured none,"
        " seconds",
        0.002,
    )
    first_start: bool = _setting(
        "whether the whole fleet starts for the first time, so that an instance"
        " may wait until the seeds name the readers of the source",
        False,
    )
    watch_s: Seconds = _setting(
        "how long a call to the source of routes waits for changes, seconds",
        2.0,
    )
    extra_share: Share = _setting(
        "limit on the extra attempts of all instances at a service, as a share"
        " of the requests for the service",
        0.2,
    )
    extra_allowance: NonNegativeNumber = _setting(
        "extra attempts of all instances at a service that are allowed in each"
        " window in addition to the share",
        50.0,
    )
    extra_window_s: Seconds = _setting(
        "window in which extra attempts are counted, seconds", 10.0
    )
    admission: bool = _setting(
        "whether requests that run at once are limited when replicas or this"
        " instance are overloaded",
        True,
    )
    admission_min_share: Share = _setting(
        "share of the started requests that each less urgent rank keeps when"
        " requests wait",
        0.05,
    )
    leaving_grace_s: NonNegativeNumber = _setting(
        "how long a replica that states that it leaves may still get requests"
        " that no other replica can serve, seconds",
        1.0,
    )
    cold_overshoot: NonNegativeNumber = _setting(
        "factor of the rate that a cold replica tolerates in the bound on the"
        " requests of all instances to it in one second",
        1.5,
    )
    cold_slack: NonNegativeNumber = _setting(
        "requests of all instances to a cold replica in one second that are"
        " allowed in addition",
        5.0,
    )
    regions: str = _setting(
        "regions of the failure domains, comma-separated domain=region; a"
        " failure domain that is not listed is in no home region",
        "",
    )
    peer_port: Port = _setting("port for other instances (ZeroMQ)", 8082)
    platform_url: str = _setting("base URL of the platform's services", "")
    peers: str = _setting(
        "instances known at startup without the platform, comma-separated"
        " id@failure-domain=tcp://address:port",
        "",
    )
    dispatch: Literal["dispatcher", "direct"] = _setting(
        "dispatcher: one instance dispatches all requests to a replica;"
        " direct: every instance calls replicas itself",
        "dispatcher",
    )
    hedging: bool = _setting("whether queries are hedged", True)
    preemption: bool = _setting(
        "whether a waiting query of a higher class may cancel a running query"
        " of a lower class",
        True,
    )
    stop_grace_s: Seconds = _setting(
        "time limit of a graceful stop, seconds", 20.0
    )
    drain_s: Seconds = _setting(
        "how long a stopping instance still accepts requests while it reports"
        " that it is not ready, so that load balancers can notice, seconds",
        1.0,
    )
    key_lifetime_s: Seconds = _setting(
        "lifetime of an idempotency key, seconds", 900.0
    )
    max_body_bytes: BodyBytes = _setting(
        "largest accepted request body, bytes", 1 << 20
    )
    max_answer_bytes: AnswerBytes = _setting(
        "largest answer to a query, bytes", 64 << 20
    )
    tls_certificate: str = _setting("PEM certificate chain for callers", "")
    tls_private_key: str = _setting("PEM private key for callers", "")
    peer_secret_key: str = _setting(
        "CURVE secret key of this instance, Z85; set it in the environment,"
        " because flags are visible to every user of the host",
        "",
    )
    peer_public_keys: str = _setting(
        "CURVE public keys of the fleet, comma-separated id=key; the key of *"
        " applies to all instances that are not listed",
        "",
    )
    allow_plaintext: bool = _setting(
        "whether a non-loopback address may be used without TLS and CURVE keys",
        False,
    )
    log_level: Literal["debug", "info", "warning", "error"] = _setting(
        "lowest level that is logged", "info"
    )


_PEER_PATTERN = re.compile(r"([^@=,\s]+)@([^@=,\s]+)=tcp://(.+):(\d{1,5})")
_CHECKED_PORT_SETTINGS = ("caller_port", "operator_port", "peer_port")


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


def _env_var(name: str) -> str:
    return _ENVIRONMENT_PREFIX + name.upper()


def _place(name: str) -> str:
    return f"{_flag(name)} ({_env_var(name)})"


def _split_list(text: str) -> Iterator[str]:
    return filter(None, (item.strip() for item in text.split(",")))


def parse_public_keys(text: str) -> dict[str, bytes]:
    """Returns the CURVE public keys by instance id.

    The key of `*` applies to all instances that are not listed.
    """
    keys = {}
    for item in _split_list(text):
        instance, _, key = item.partition("=")
        keys[instance] = key.encode()
    return keys


class _SettingsChecker:
    """Runs the checks that go beyond the type and range of a single field.

    `values` contains the fields that passed their own validation and the
    defaults of the fields that are not set.
    """

    def __init__(
        self, values: Mapping[str, Any], findings: findings_lib.Findings
    ) -> None:
        self._values = values
        self._findings = findings

    def check_all(self) -> None:
        """Runs all checks and adds the errors."""
        self._check_host()
        self._check_ports()
        self._check_platform_url()
        self._check_peers()
        self._check_drain_time()
        self._check_regions()
        self._check_tls()
        self._check_curve_keys()

    def _get(self, name: str) -> Any:
        return self._values.get(name)

    def _add_error(self, name: str, message: str) -> None:
        self._findings.add(_place(name), message)

    def _check_host(self) -> None:
        host = self._get("host")
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            self._add_error("host", f"{host!r} is not an IP address")
            return
        if address.is_unspecified or address.is_multicast:
            # Other instances connect to this address.
            self._add_error(
                "host",
                f"{host} is not the address of a single network interface",
            )
        elif not address.is_loopback and not self._get("allow_plaintext"):
            for name in ("tls_certificate", "peer_secret_key"):
                if not self._get(name):
                    self._add_error(
                        name,
                        f"is required because {host} is not a loopback address;"
                        " or set --allow-plaintext",
                    )

    def _check_ports(self) -> None:
        names_by_port: dict[int, list[str]] = {}
        for name in _CHECKED_PORT_SETTINGS:
            port = self._get(name)
            if port:
                names_by_port.setdefault(port, []).append(name)
        for port, names in names_by_port.items():
            for name in names[1:]:
                self._add_error(
                    name, f"{port} is also the value of {_flag(names[0])}"
                )

    def _check_platform_url(self) -> None:
        url = self._get("platform_url")
        if url is None:
            return
        if not url:
            if not self._get("peers"):
                self._add_error(
                    "platform_url", "is required if --peers is empty"
                )
            return
        try:
            parts = urllib.parse.urlsplit(url)
            valid = parts.scheme in ("http", "https") and parts.hostname
            valid = valid and parts.port != 0 and not parts.query
        except ValueError:
            valid = False
        if not valid:
            self._add_error("platform_url", f"{url!r} is not an http(s) URL")

    def _check_peers(self) -> None:
        seen: set[str] = set()
        for item in _split_list(self._get("peers") or ""):
            match = _PEER_PATTERN.fullmatch(item)
            if match is None:
                self._add_error(
                    "peers",
                    f"{item!r} is not id@failure-domain=tcp://address:port",
                )
                continue
            try:
                ipaddress.ip_address(match[3].strip("[]"))
            except ValueError:
                self._add_error("peers", f"{match[3]!r} is not an IP address")
            if not 0 < int(match[4]) < 65536:
                self._add_error("peers", f"{match[4]} is not a port")
            if match[1] in seen:
                self._add_error("peers", f"{match[1]!r} is listed twice")
            seen.add(match[1])

    def _check_drain_time(self) -> None:
        drain_s = self._get("drain_s")
        grace_s = self._get("stop_grace_s")
        if None not in (drain_s, grace_s) and drain_s > grace_s:
            self._add_error(
                "drain_s",
                f"{drain_s:g} is greater than --stop-grace-s {grace_s:g}",
            )

    def _check_regions(self) -> None:
        for item in _split_list(self._get("regions") or ""):
            domain, _, region = item.partition("=")
            if not domain.strip() or not region.strip():
                self._add_error("regions", f"{item!r} is not domain=region")

    def _check_tls(self) -> None:
        names = ("tls_certificate", "tls_private_key")
        given_names = [name for name in names if self._get(name)]
        for name in names:
            if given_names and name not in given_names:
                self._add_error(
                    name, f"is required with {_flag(given_names[0])}"
                )
        readable = True
        for name in given_names:
            try:
                with open(self._get(name), "rb"):
                    pass
            except OSError as error:
                readable = False
                self._add_error(name, f"{error.filename}: {error.strerror}")
        if len(given_names) < len(names) or not readable:
            return
        import ssl

        try:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            # The password callback keeps OpenSSL from prompting for a password.
            context.load_cert_chain(
                self._get(names[0]), self._get(names[1]), password=lambda: b""
            )
        except (ssl.SSLError, OSError) as error:
            self._add_error(
                "tls_certificate",
                f"certificate and private key cannot be used: {error}",
            )

    def _check_curve_keys(self) -> None:
        names = ("peer_secret_key", "peer_public_keys")
        given_names = [name for name in names if self._get(name)]
        for name in names:
            if given_names and name not in given_names:
                self._add_error(
                    name, f"is required with {_flag(given_names[0])}"
                )
        # The message does not contain the key, because the message is printed
        # to standard error.
        if self._get("peer_secret_key") and not _is_curve_key(
            self._get("peer_secret_key").encode()
        ):
            self._add_error(
                "peer_secret_key", "is not a Z85 key of 40 characters"
            )
        keys = parse_public_keys(self._get("peer_public_keys") or "")
        for instance, key in keys.items():
            if not instance or not _is_curve_key(key):
                self._add_error(
                    "peer_public_keys",
                    f"the key of {instance!r} is not a Z85 key of 40"
                    " characters",
                )


def _is_curve_key(key: bytes) -> bool:
    from zmq.utils import z85

    try:
        return len(key) == 40 and len(z85.decode(key)) == 32
    except (ValueError, KeyError, OverflowError):
        return False


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds a flag for each setting; `load` parses the values."""
    for field in dataclasses.fields(Settings):
        required = field.default is dataclasses.MISSING
        default = "required" if required else f"default: {field.default!r}"
        # A boolean flag without a value means true.
        options = {}
        if isinstance(field.default, bool):
            options = {"nargs": "?", "const": "true"}
        parser.add_argument(
            _flag(field.name),
            metavar="VALUE",
            help=f"{field.metadata['help']} ({_env_var(field.name)};"
            f" {default})",
            **options,
        )


def load(
    flags: argparse.Namespace, environment: Mapping[str, str]
) -> result.Result[Settings, findings_lib.Findings]:
    """Reads and validates the settings.

    A flag takes precedence over the environment variable of the same setting.

    Args:
        flags: Parsed arguments, as added by `add_arguments`.
        environment: Environment variables.

    Returns:
        The settings, or every error with the flag and variable concerned.
    """
    values = {}
    for field in dataclasses.fields(Settings):
        value = getattr(flags, field.name, None)
        if value is None:
            value = environment.get(_env_var(field.name))
        if value is not None:
            values[field.name] = value
    findings = findings_lib.Findings()
    valid = _validate_fields(values, findings)
    _SettingsChecker(valid, findings).check_all()
    if not findings.ok:
        return result.Err(findings)
    return result.Ok(Settings(**valid))


def _validate_fields(
    values: Mapping[str, str], findings: findings_lib.Findings
) -> dict[str, Any]:
    """Returns the valid fields, and the default of each field that is not set.

    Each field is validated separately, so that checks that involve several
    fields still run for the valid ones.
    """
    import pydantic

    from mallowloft.kernel import setting_types

    valid = {}
    types = typing.get_type_hints(
        Settings, localns=vars(setting_types), include_extras=True
    )
    for field in dataclasses.fields(Settings):
        if field.name not in values:
            if field.default is dataclasses.MISSING:
                findings.add(_place(field.name), "is required")
            else:
                valid[field.name] = field.default
            continue
        try:
            valid[field.name] = pydantic.TypeAdapter(
                types[field.name]
            ).validate_python(values[field.name])
        except pydantic.ValidationError as error:
            for item in error.errors(include_url=False):
                findings.add(
                    _place(field.name),
                    f"{item['msg']}, not {values[field.name]!r}",
                )
    return valid


def check_ports_bindable(
    settings: Settings, findings: findings_lib.Findings
) -> None:
    """Adds an error for each caller, operator or peer port that is unusable.

    A port is unusable if the process cannot listen on it.
    """
    family = socket.AF_INET6 if ":" in settings.host else socket.AF_INET
    for name in _CHECKED_PORT_SETTINGS:
        port = getattr(settings, name)
        with socket.socket(family) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((settings.host, port))
                probe.listen()
            except OSError as error:
                findings.add(
                    _place(name),
                    f"cannot listen on {settings.host} port {port}:"
                    f" {error.strerror}",
                )
