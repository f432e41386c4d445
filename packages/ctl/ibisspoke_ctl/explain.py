"""The ``explain`` command: the outcome of one request, from the logs of the nodes."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from .exit_code import ExitCode
from .output import print_error, print_json
from .session import JsonOption

LEADING_FIELDS = ("at_ms", "node", "event")
OMITTED_FIELDS = {"level", "request", *LEADING_FIELDS}

EXPLANATION_BY_REASON = {
    "rate_exceeded": "its organisation exceeded its rate; raise the rate, or ask "
    "the organisation to spread its requests",
    "key_unknown": "no organisation has its key; compare the version in force at "
    "the node with the one that gave or withdrew the key",
    "route_unknown": "no route matches its host and path; compare them with the routes "
    "of the version in force",
    "keys_not_proven": "the node could not prove that its keys were current; look for "
    "'store lost' at this node",
    "no_configuration": "the node had no configuration yet; look for 'store lost' "
    "after 'node started'",
    "stopping": "the node was about to stop, and it might not have ended before",
    "bodies_too_large": "uploads took the memory of its node; look for large ones "
    "at the same time",
    "dependency_overloaded": "a service that its route needs had no capacity left; "
    "look at ibisspoke_upstream_pressure and at the queues of the services it calls",
    "full": "no reachable upstream could have answered within half of its objective; "
    "look at ibisspoke_requests_queued of its service",
    "preempted": "more urgent requests displaced it from the queue; look at "
    "ibisspoke_requests_queued of its service",
    "stalled": "its upstream did not answer for seconds; look at that upstream",
    "no_upstream_in_regions": "no upstream of its service could be asked in the "
    "regions that its route and its organisation allow; look for 'region unknown'",
    "expired": "its deadline passed before it could start",
}


class LogLine(NamedTuple):
    """One line about the request in the log of a node."""

    at_ms: int
    node: str
    event: str
    fields: dict[str, Any]


def explain(
    request: Annotated[str, typer.Argument(help="The id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of nodes, JSON lines; standard input by default."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """List the log lines about one request in time order and explain its outcome."""
    lines: list[LogLine] = []
    try:
        if logs:
            for path in logs:
                with path.open(errors="replace") as file:
                    lines += matching_lines(request, file)
        else:
            lines = matching_lines(request, sys.stdin)
    except OSError as error:
        print_error(str(error), "name logs that can be read")
        raise typer.Exit(ExitCode.BAD_INPUT) from None
    if not lines:
        detail = f"no line names the request {request!r}"
        remedy = (
            "it was answered without an event to log, or its line was left out; see "
        )
        print_error(detail, remedy + "'lines left out' in the log of its node")
        raise typer.Exit(ExitCode.NOT_FOUND)
    lines.sort(key=lambda line: line.at_ms)
    if as_json:
        print_json({"lines": lines, "verdict": describe_outcome(lines)})
        return
    for line in lines:
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.at_ms}  {line.node}  {line.event}  {details}")
    typer.echo(describe_outcome(lines))


def matching_lines(request: str, log: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that are about a request.

    Text before the first brace is skipped, such as a timestamp that a log collector
    adds.
    """
    matches = []
    for text in log:
        start = text.find("{")
        if start < 0 or request not in text:
            continue
        try:
            entry = json.loads(text[start:])
        except ValueError:
            continue  # a truncated line; the node counts the lines that it lost
        if isinstance(entry, dict) and entry.get("request") == request:
            matches.append(
                LogLine(
                    int(entry.get("at_ms", 0)),
                    str(entry.get("node", "")),
                    str(entry.get("event", "")),
                    {k: v for k, v in entry.items() if k not in OMITTED_FIELDS},
                )
            )
    return matches


def describe_outcome(lines: list[LogLine]) -> str:
    """Return a sentence that explains the outcome of a request."""
    last = lines[-1]
    reason = str(last.fields.get("reason", ""))
    if last.event == "answered after a repeat":
        n_sent = last.fields.get("n_sent")
        return (
            f"Answered after {n_sent} upstreams received it; "
            "the first gave no usable answer."
        )
    if last.event == "cancelled":
        held_ms = last.fields.get("held_ms")
        return (
            f"Cancelled: its caller disconnected after {held_ms} ms. It may have run."
        )
    if last.event.startswith("refused "):
        status = last.event.removeprefix("refused ")
        explanation = EXPLANATION_BY_REASON.get(
            reason, reason or "no reason was logged"
        )
        return f"Refused with {status}: {explanation}. {_describe_execution(status)}"
    return f"Its outcome was not logged; the last line is {last.event!r}."


def _describe_execution(status: str) -> str:
    if status in ("502", "504"):
        return "It may have run: check with the service before you send it again."
    return "It has not run."
