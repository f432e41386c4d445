"""The ``ibisspoke`` program."""

import typer

from .apply import apply
from .check import check
from .explain import explain
from .history import audit, history
from .keys import keys_app
from .nodes import nodes
from .replay import replay_trace
from .show import diff, show
from .status import status

app = typer.Typer(
    name="ibisspoke",
    help="Administer a fleet of ibisspoke nodes.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
app.command()(check)
app.command()(apply)
app.command()(diff)
app.command()(show)
app.command()(history)
app.command()(audit)
app.add_typer(keys_app, name="keys", no_args_is_help=True)
app.command()(status)
app.command()(nodes)
app.command("replay")(replay_trace)
app.command()(explain)


def main() -> None:
    """Run the command line."""
    app(prog_name="ibisspoke")


if __name__ == "__main__":
    main()
