"""What became of a request so far, over several attempts."""

from .frames import Outcome, OutcomeKind

ROOMLESS = (OutcomeKind.REFUSED, OutcomeKind.SHED, OutcomeKind.TIMED_OUT)


class Progress:
    """What became of a request so far."""

    def __init__(self) -> None:
        self.nodes: set[str] = set()
        self.n_sent = 0
        self.best: Outcome | None = None
        self.retry_after_ms = 0.0
        self.may_have_run = False


def has_starved(outcome: Outcome) -> bool:
    """Tell whether a request failed for want of room here or deeper down."""
    if outcome.kind is OutcomeKind.ANSWERED:
        return outcome.has_starved
    return outcome.kind in ROOMLESS


def better(best: Outcome | None, latest: Outcome) -> Outcome:
    """Prefer an answer of an upstream, then the latest outcome."""
    if best is None or latest.kind is OutcomeKind.ANSWERED:
        return latest
    if best.kind is OutcomeKind.ANSWERED:
        return best
    return best if latest.kind is OutcomeKind.REFUSED else latest
