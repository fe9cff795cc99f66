"""Command line of mallowloft."""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import json
import os
import sys
from typing import Any

import mallowloft
from mallowloft import client as client_lib
from mallowloft import explain
from mallowloft import losses
from mallowloft.kernel import findings as findings_lib
from mallowloft.kernel import lifecycle
from mallowloft.kernel import logs
from mallowloft.kernel import process
from mallowloft.kernel import registry
from mallowloft.kernel import settings as settings_lib

_EXIT_OK = 0
_EXIT_ERROR = 1
_EXIT_USAGE = 2
# Also the status of a query or dump without a usable response, even if the
# instance ran the query.
_EXIT_NOT_RUN = 3
_EXIT_UNKNOWN = 4

_EXIT_BY_OUTCOME = {
    "done": _EXIT_OK,
    "faulty": _EXIT_ERROR,
    "not_run": _EXIT_NOT_RUN,
    "unknown": _EXIT_UNKNOWN,
}
# How long the client waits for the response beyond the deadline.
_TIMEOUT_MARGIN_S = 1.0

_log = logs.get_logger("process")

Command = Callable[[argparse.Namespace], int]

commands: registry.Registry[Command] = registry.Registry("command")


def _print(value: Any) -> None:
    print(json.dumps(value, indent=2))


async def _run_instance(settings: settings_lib.Settings) -> None:
    kernel = lifecycle.Kernel(settings)
    kernel.build_plugins()
    await process.run(kernel)


@commands.register("entry")
def _entry_command(arguments: argparse.Namespace) -> int:
    loaded = settings_lib.load(arguments, os.environ)
    findings = loaded.err() or findings_lib.Findings()
    if loaded.is_ok():
        settings_lib.check_ports_bindable(loaded.unwrap(), findings)
    if not findings.ok:
        print(findings, file=sys.stderr)
        return _EXIT_USAGE
    settings = loaded.unwrap()
    logs.configure(settings.log_level, settings.instance_id)
    registry.load_query_plugins()
    try:
        asyncio.run(_run_instance(settings))
    except OSError as error:
        # A port may be in use: the check does not cover all ports, and another
        # process may have bound a port since.
        _log.error("start_failed", reason=str(error))
        return _EXIT_ERROR
    return _EXIT_OK


def _create_client(arguments: argparse.Namespace) -> client_lib.Client:
    try:
        return client_lib.Client(arguments.token, arguments.ca)
    except OSError as error:
        print(f"--ca {arguments.ca}: {error}", file=sys.stderr)
        raise SystemExit(_EXIT_USAGE) from error


@commands.register("query")
def _query_command(arguments: argparse.Namespace) -> int:
    body = {"query": arguments.query, **_optional_fields(arguments)}
    return asyncio.run(_run_query(arguments, body))


def _optional_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    """Returns the optional fields of the body whose flags are given."""
    names = ("deadline_ms", "min_coverage", "prefer")
    values = {name: getattr(arguments, name, None) for name in names}
    return {name: value for name, value in values.items() if value is not None}


def _timeout_s(arguments: argparse.Namespace) -> float:
    if arguments.timeout_ms is not None:
        return arguments.timeout_ms / 1000
    deadline_ms = arguments.deadline_ms or 10_000.0
    return deadline_ms / 1000 + _TIMEOUT_MARGIN_S


async def _run_query(
    arguments: argparse.Namespace, body: Mapping[str, Any]
) -> int:
    path = f"/v1/query/{arguments.target}"
    timeout_s = _timeout_s(arguments)
    async with _create_client(arguments) as client:
        for url in arguments.url:
            call_result = await client.call(
                "POST", url + path, body, None, timeout_s
            )
            if call_result.is_err():
                print(call_result.unwrap_err().reason, file=sys.stderr)
                continue
            answer = call_result.unwrap()
            # Another instance may answer if this one is overloaded or stopping.
            if answer.status < 500 and answer.status != 429:
                break
        if call_result.is_err():
            return _EXIT_NOT_RUN
    _print(answer.body)
    if answer.status == 200:
        return _EXIT_OK
    return _EXIT_ERROR if "findings" in answer.body else _EXIT_NOT_RUN


@commands.register("submit")
def _submit_command(arguments: argparse.Namespace) -> int:
    body = {
        "shard": arguments.shard,
        "body": arguments.body,
        **_optional_fields(arguments),
    }
    outcome = asyncio.run(_run_submit(arguments, body))
    _print(
        {
            "outcome": outcome.name,
            "key": outcome.key,
            "copies": outcome.copies,
            "answer": outcome.detail,
        }
    )
    return _EXIT_BY_OUTCOME[outcome.name]


async def _run_submit(
    arguments: argparse.Namespace, body: Mapping[str, Any]
) -> client_lib.Outcome:
    async with _create_client(arguments) as client:
        submitter = client_lib.Submitter(
            client, arguments.url, arguments.copies, _timeout_s(arguments)
        )
        return await submitter.submit(arguments.service, body)


def _read_documents(
    path: str, documents: dict[str, Any], findings: findings_lib.Findings
) -> None:
    """Adds the documents of one file, and an error for each problem found."""
    try:
        with open(path, encoding="utf-8") as file:
            values = json.load(
                file,
                parse_constant=_reject_constant,
                object_pairs_hook=_reject_duplicate_names,
            )
    except OSError as error:
        findings.add(path, str(error.strerror))
        return
    except ValueError as error:
        findings.add(path, f"is not valid JSON: {error}")
        return
    if not isinstance(values, dict):
        findings.add(path, "is not an object that maps paths to documents")
        return
    for document_path, value in values.items():
        if document_path in documents:
            findings.add(document_path, f"is also in another file than {path}")
        documents[document_path] = value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not allowed")


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Rejects duplicate names, for which Python would keep the last value."""
    values = dict(pairs)
    if len(values) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(
            f"duplicate names in one object: {', '.join(duplicates)}"
        )
    return values


@commands.register("check")
def _check_command(arguments: argparse.Namespace) -> int:
    # Imported here so that other commands start faster.
    from mallowloft.configuration import tree

    documents: dict[str, Any] = {}
    findings = findings_lib.Findings()
    for path in arguments.files:
        _read_documents(path, documents, findings)
    for finding in tree.check_tree(documents):
        findings.add(finding.place, finding.message)
    if findings.ok:
        print(f"{len(documents)} documents, no findings")
        return _EXIT_OK
    print(findings)
    return _EXIT_ERROR


@commands.register("dump")
def _dump_command(arguments: argparse.Namespace) -> int:
    return asyncio.run(_run_dump(arguments))


async def _run_dump(arguments: argparse.Namespace) -> int:
    async with client_lib.Client() as client:
        call_result = await client.call("GET", arguments.url[0] + "/v1/state")
    if call_result.is_err():
        print(call_result.unwrap_err().reason, file=sys.stderr)
        return _EXIT_NOT_RUN
    _print(call_result.unwrap().body)
    return _EXIT_OK


def _read_logs(paths: Sequence[str]) -> list[str] | None:
    """Returns the lines of all files; prints an error and returns None."""
    texts: list[str] = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                texts += file
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return None
    return texts


@commands.register("losses")
def _losses_command(arguments: argparse.Namespace) -> int:
    texts = _read_logs(arguments.files)
    if texts is None:
        return _EXIT_USAGE
    if not arguments.window > 0:
        print("--window: is not above 0", file=sys.stderr)
        return _EXIT_USAGE
    rows = losses.windows(texts, arguments.window)
    if not rows:
        print("no log line is of a routed request", file=sys.stderr)
        return _EXIT_ERROR
    print("\n".join(losses.table(rows)))
    return _EXIT_OK


@commands.register("explain")
def _explain_command(arguments: argparse.Namespace) -> int:
    texts = _read_logs(arguments.files)
    if texts is None:
        return _EXIT_USAGE
    lines = explain.relevant_lines(arguments.request, texts)
    if not lines:
        print(f"no log line has request={arguments.request}", file=sys.stderr)
        return _EXIT_ERROR
    print("\n".join(lines))
    return _EXIT_OK


@commands.register("version")
def _version_command(arguments: argparse.Namespace) -> int:
    del arguments
    print(mallowloft.__version__)
    return _EXIT_OK


def _parse_json(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"is not valid JSON: {error}"
        ) from error


def _parse_urls(text: str) -> list[str]:
    urls = [item.strip().rstrip("/") for item in text.split(",")]
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise argparse.ArgumentTypeError(f"{url!r} is not an http(s) URL")
    return urls


def _add_url(
    parser: argparse.ArgumentParser, variable: str, help_text: str
) -> None:
    default = os.environ.get(variable)
    parser.add_argument(
        "--url",
        type=_parse_urls,
        default=default,
        required=default is None,
        metavar="URL[,URL]",
        help=f"{help_text} ({variable})",
    )


def _add_caller_arguments(parser: argparse.ArgumentParser) -> None:
    _add_url(
        parser,
        "MALLOWLOFT_URL",
        "addresses of instances, comma-separated, tried in this order",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("MALLOWLOFT_TOKEN", ""),
        help="the team's token (or MALLOWLOFT_TOKEN; unlike flags, the"
        " environment is not visible to other users of the host)",
    )
    parser.add_argument(
        "--ca",
        default="",
        metavar="FILE",
        help="PEM file with the CA certificates to trust",
    )
    parser.add_argument("--deadline-ms", type=float)
    parser.add_argument(
        "--timeout-ms",
        type=float,
        help="time limit for each call (default: --deadline-ms, or 10 s, plus"
        " 1 s)",
    )


def _add_client_commands(subparsers: Any) -> None:
    query = subparsers.add_parser("query", help="run a query")
    query.add_argument("target", help="service or group")
    query.add_argument("query", type=_parse_json, help="query as JSON")
    query.add_argument("--min-coverage", type=float)
    query.add_argument("--prefer", choices=("time", "coverage"))
    _add_caller_arguments(query)
    submit = subparsers.add_parser(
        "submit",
        help="run a submission at most once",
        description="Requests a key, sends the submission and retries it with"
        " the same key while the outcome is unknown. Exit status: 0 done,"
        " 1 invalid request, 3 not run, 4 outcome unknown.",
    )
    submit.add_argument("service")
    submit.add_argument("shard")
    submit.add_argument("body", type=_parse_json, help="body as JSON")
    submit.add_argument(
        "--copies",
        type=int,
        choices=range(1, 101),
        default=5,
        metavar="1..100",
        help="maximum number of times to send the submission (default: 5)",
    )
    _add_caller_arguments(submit)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mallowloft", description=mallowloft.__doc__
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    entry = subparsers.add_parser("entry", help="run an instance")
    settings_lib.add_arguments(entry)
    _add_client_commands(subparsers)
    check = subparsers.add_parser(
        "check",
        help="check a configuration before it is published",
        description="Checks JSON files that map paths to documents. All files"
        " form one tree. Exit status 1 if there are findings.",
    )
    check.add_argument("files", nargs="+", metavar="FILE")
    dump = subparsers.add_parser("dump", help="print an instance's state")
    _add_url(
        dump,
        "MALLOWLOFT_OPERATOR_URL",
        "address of the instance's port for operators; only the first is used",
    )
    explain_parser = subparsers.add_parser(
        "explain",
        help="print the log lines that explain a request",
        description="Prints the log lines of a request and the preceding events"
        " that affected its instance, in chronological order. Exit status 1 if"
        " there are none.",
    )
    explain_parser.add_argument("request", help="id of the request")
    explain_parser.add_argument("files", nargs="+", metavar="FILE")
    losses_parser = subparsers.add_parser(
        "losses",
        help="print when and why routed requests lost answers or parts",
        description="Prints a table of the routed requests in the logs of all"
        " instances by time: late and failed answers and missing parts, with"
        " the reasons. Exit status 1 if there are none.",
    )
    losses_parser.add_argument(
        "--window", type=float, default=2.0, help="seconds of a line"
    )
    losses_parser.add_argument("files", nargs="+", metavar="FILE")
    subparsers.add_parser("version", help="print the version")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a subcommand and returns its exit status."""
    arguments = _parser().parse_args(argv)
    return commands.by_name[arguments.command](arguments)
