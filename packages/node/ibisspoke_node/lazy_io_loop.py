"""Event loop adapter that avoids needless changes of read interest in sockets.

A tornado stream removes its read interest while a message is handled and adds it again
afterwards, which costs two system calls per message. This loop keeps the socket
registered, and removes the read interest only if the socket becomes readable while no
reads are wanted.
"""

from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop
from tornado.platform.asyncio import AsyncIOMainLoop


class LazyIOLoop(AsyncIOMainLoop):
    """Keep sockets registered for reads between messages.

    It must be created inside the running event loop, before the first stream.
    """

    def initialize(self, **kwargs: Any) -> None:  # type: ignore[override]
        """Initialize without sockets."""
        self._wanted_by_fd: dict[int, int] = {}
        self._registered_by_fd: dict[int, int] = {}
        super().initialize(**kwargs)

    def add_handler(self, fd: Any, handler: Callable[..., None], events: int) -> None:
        """Call ``handler`` when one of ``events`` occurs."""
        number, _ = self.split_fd(fd)

        def handle(source: Any, happened: int) -> None:
            wanted = self._wanted_by_fd[number]
            if happened & wanted:
                handler(source, happened)
            else:
                self._register(number, wanted)

        super().add_handler(fd, handle, events)
        self._wanted_by_fd[number] = events
        self._registered_by_fd[number] = events

    def update_handler(self, fd: Any, events: int) -> None:
        """Change the events that ``handler`` is called for."""
        number, _ = self.split_fd(fd)
        self._wanted_by_fd[number] = events
        registered = self._registered_by_fd[number]
        kept = events | (registered & IOLoop.READ)
        if kept != registered:
            self._register(number, kept)

    def remove_handler(self, fd: Any) -> None:
        """Remove a socket."""
        number, _ = self.split_fd(fd)
        self._wanted_by_fd.pop(number, None)
        self._registered_by_fd.pop(number, None)
        super().remove_handler(fd)

    def _register(self, number: int, events: int) -> None:
        self._registered_by_fd[number] = events
        super().update_handler(number, events)
