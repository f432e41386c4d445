"""Exit codes of the command line."""

from enum import IntEnum

from ibisspoke_storage.store import StoreErrorKind


class ExitCode(IntEnum):
    """Outcome of a command; ``docs/OPERATING.md`` lists the codes."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7


EXIT_CODE_BY_KIND = {
    StoreErrorKind.UNAVAILABLE: ExitCode.UNAVAILABLE,
    StoreErrorKind.CONFLICT: ExitCode.CONFLICT,
    StoreErrorKind.UNKNOWN: ExitCode.UNKNOWN,
    StoreErrorKind.INVALID: ExitCode.FAILED,
    StoreErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}
