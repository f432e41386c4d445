"""The ``explain`` command: what became of one request, by the nodes' logs."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from .exit_code import ExitCode
from .output import print_error, print_json
from .session import JsonOption

SHOWN_FIRST = ("at_ms", "node", "event")
HIDDEN = {"level", "request", *SHOWN_FIRST}

SENTENCE_BY_REASON = {
    "rate_exceeded": "its organisation was beyond its rate; raise the rate, or ask "
    "the organisation to spread its requests",
    "key_unknown": "no organisation holds its key; compare the version in force at "
    "the node with the one that gave or withdrew the key",
    "route_unknown": "no route fits its host and path; compare them with the routes "
    "of the version in force",
    "keys_not_proven": "the node could not prove that its keys were current; look for "
    "'store lost' at this node",
    "no_configuration": "the node had no configuration yet; look for 'store lost' "
    "after 'node started'",
    "stopping": "the node was about to stop",
    "dependency_overloaded": "a service that its route needs had no room; look at "
    "ibisspoke_upstream_pressure and at the queues of the services it calls",
    "full": "no upstream in reach could have answered within half of its objective; "
    "look at ibisspoke_requests_queued of its service",
    "preempted": "more urgent requests came before it; look at "
    "ibisspoke_requests_queued of its service",
    "stalled": "its upstream answered nothing for seconds; look at that upstream",
    "expired": "its time ran out before it could start",
}


class LogLine(NamedTuple):
    """One line of a node's log that names the request."""

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
    """Put the lines about one request in order, and say what decided it."""
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
        remedy = "it was answered without ado, or its line was left out; see "
        print_error(detail, remedy + "'lines left out' in the log of its node")
        raise typer.Exit(ExitCode.NOT_FOUND)
    lines.sort(key=lambda line: line.at_ms)
    if as_json:
        print_json({"lines": lines, "verdict": verdict(lines)})
        return
    for line in lines:
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.at_ms}  {line.node}  {line.event}  {details}")
    typer.echo(verdict(lines))


def matching_lines(request: str, log: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that name a request.

    Text before the first brace, such as a time that a collector adds, is skipped.
    """
    found = []
    for text in log:
        start = text.find("{")
        if start < 0 or request not in text:
            continue
        try:
            entry = json.loads(text[start:])
        except ValueError:
            continue  # a line that was cut; its node counts those that it lost
        if isinstance(entry, dict) and entry.get("request") == request:
            found.append(
                LogLine(
                    int(entry.get("at_ms", 0)),
                    str(entry.get("node", "")),
                    str(entry.get("event", "")),
                    {k: v for k, v in entry.items() if k not in HIDDEN},
                )
            )
    return found


def verdict(lines: list[LogLine]) -> str:
    """Return a sentence on what decided the fate of a request."""
    last = lines[-1]
    reason = str(last.fields.get("reason", ""))
    if last.event == "answered after a repeat":
        n_sent = last.fields.get("n_sent")
        return f"Answered after {n_sent} upstreams had it; the first gave no use."
    if last.event == "cancelled":
        held_ms = last.fields.get("held_ms")
        return f"Cancelled: its caller had gone after {held_ms} ms. It may have run."
    if last.event.startswith("refused "):
        status = last.event.removeprefix("refused ")
        why = SENTENCE_BY_REASON.get(reason, reason or "no reason was logged")
        return f"Refused with {status}: {why}. {_what_ran(status)}"
    return f"Its end was not logged; the last line is {last.event!r}."


def _what_ran(status: str) -> str:
    if status in ("502", "504"):
        return "It may have run: ask the service before it is sent again."
    return "It has not run."
