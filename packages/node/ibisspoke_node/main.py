"""The ``ibisspoke-node`` program."""

import asyncio
import gc
import json
import logging
import signal
import sys
from pathlib import Path

from pythonjsonlogger.json import JsonFormatter
from result import Err
from tornado.netutil import Resolver

from ibisspoke_policy.clock import Clock

from .ip_resolver import IpResolver
from .lazy_io_loop import LazyIOLoop
from .node import running_node
from .settings import NodeSettings, load_settings

EXIT_BAD_SETTINGS = 2
GC_THRESHOLD = 50_000
USAGE = "usage: ibisspoke-node SETTINGS.toml"

logger = logging.getLogger(__name__)


def main() -> None:
    """Run a node until SIGTERM."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        sys.exit(USAGE)
    loaded = load_settings(Path(sys.argv[1]))
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    _configure_logging(settings)
    Resolver.configure(IpResolver)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(_run(settings))


async def _run(settings: NodeSettings) -> None:
    LazyIOLoop()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with running_node(settings, Clock()) as node:
        print(json.dumps(node.ports._asdict()), flush=True)
        await stop.wait()
        logger.info("node stops", extra={"node": settings.id})
        await node.drain()


def _configure_logging(settings: NodeSettings) -> None:
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=settings.log_level, handlers=[handler])


if __name__ == "__main__":
    main()
