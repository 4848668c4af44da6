"""A thread pool that grows with demand and ends threads that stay idle."""

import contextlib
import math
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.workers.threadpool import (  # type: ignore[attr-defined]
    _SHUTDOWNREQUEST,
    ThreadPool,
    WorkerThread,
)
from redwingscale_common.utils.logs import log_event

# A thread that is idle for this long ends. Requests come in bursts of some seconds: the
# threads started for one burst serve the next one.
IDLE_SECONDS = 10.0
# At most one log line in this time while all threads are busy.
FULL_LOG_SECONDS = 5.0
# How long a connection may wait for a thread once the port has closed.
UNREAD_SECONDS = 0.2
CHECK_SECONDS = 0.01
# Time for the answers to requests that are open when the process ends.
ENDING_SECONDS = 0.3
# Reserved at the end of that to close a connection whose caller does not take its answer.
_CLOSING_SECONDS = 0.05


class _Waiter:
    """An idle thread's wait for a connection."""

    def __init__(self) -> None:
        self._assigned = threading.Lock()
        self._assigned.acquire()
        self.connection: Any = None

    def assign(self, connection: Any) -> None:
        """Wake the thread with ``connection``."""
        self.connection = connection
        self._assigned.release()

    def wait(self, seconds: float) -> bool:
        """Return whether a connection was assigned within ``seconds``."""
        return self._assigned.acquire(timeout=seconds)


class RequestThreads(ThreadPool):
    """A pool of ``minimum`` to ``maximum`` threads; the last to become idle is used first.

    With a fixed pool for the largest number of open requests, most threads would be idle
    all the time, and some hundred instances would exhaust a machine's threads. If idle
    threads were used in turn, each would be used now and then and none would end; with the
    last one used first, those that are idle longest end by themselves.

    Connections that ``admits`` returns False for are closed.
    """

    _threads: list[WorkerThread]
    # Monotonic time at which the connections of a port that has closed are ended.
    ends_at = math.inf

    def __init__(
        self,
        server: Any,
        name: str,
        minimum: int,
        maximum: int,
        admits: Callable[[Any], bool] = lambda connection: True,
    ) -> None:
        super().__init__(server, min=minimum, max=maximum)
        self._name, self._admits = name, admits
        self._lock = threading.Lock()
        self._waiters: list[_Waiter] = []
        # Ids of threads that serve a connection; one that has just started has none yet.
        self._serving: set[int] = set()
        self._backlog: deque[Any] = deque()
        self._stopping = False
        self._full_logged_at = float("-inf")
        # The server's threads call this attribute to get their connections.
        self.get = self._next_connection

    @property
    def busy(self) -> int:
        """Number of threads that serve a connection."""
        return len(self._serving)

    @property
    def qsize(self) -> int:
        """Number of connections that wait for a thread."""
        return len(self._backlog)

    def start(self) -> None:
        """Start the minimum number of threads."""
        with self._lock:
            for _ in range(self.min):
                self._start_one()

    def put(self, obj: Any) -> None:
        """Assign a connection to an idle thread, else to a new one, else to the next free one."""
        if not self._admits(obj):
            obj.close()
            return
        with self._lock:
            if self._waiters:
                self._waiters.pop().assign(obj)
                return
            self._backlog.append(obj)
            if len(self._threads) < self.max:
                self._start_one()
            else:
                self._log_full()

    def stop(self, timeout: Any = 5) -> None:
        """End all threads by `ends_at`, after the connections that they have were served.

        The requests that are open then get `ENDING_SECONDS` to end their answers.
        """
        self.server.port_stop.begin(self.ends_at - ENDING_SECONDS)
        with self._lock:
            self._stopping = True
            for waiter in self._waiters:
                waiter.assign(_SHUTDOWNREQUEST)
            self._waiters.clear()
        threads = [*self._threads]
        unread = self._close_unread()
        _join(threads, self.ends_at)
        open_connections = [thread.conn for thread in threads if thread.conn is not None]
        if unread or open_connections:
            log_event(
                "connections_ended",
                level="WARNING",
                port=self._name,
                open=len(open_connections),
                unread=unread,
            )
        for connection in open_connections:
            self._end(connection)
        _join(threads, self.ends_at + ENDING_SECONDS)

    def _close_unread(self) -> int:
        """Close the connections that get no thread, so that their callers go elsewhere at once."""
        waits_until = min(self.ends_at, time.monotonic() + UNREAD_SECONDS)
        while self._backlog and time.monotonic() < waits_until:
            time.sleep(CHECK_SECONDS)
        with self._lock:
            unread = [*self._backlog]
            self._backlog.clear()
        for connection in unread:
            connection.is_turned_away = True
            connection.close()
        return len(unread)

    def _end(self, connection: Any) -> None:
        """End the reading side of a connection, which wakes the thread that waits for it."""
        connection.state.sends_until = self.ends_at + ENDING_SECONDS - _CLOSING_SECONDS
        connection.state.ended = True
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_RD)

    def _next_connection(self) -> Any:
        me = threading.get_ident()
        self._serving.discard(me)
        connection = self._await_connection()
        if connection is not _SHUTDOWNREQUEST:
            self._serving.add(me)
        return connection

    def _await_connection(self) -> Any:
        me = threading.get_ident()
        while True:
            with self._lock:
                if self._backlog:
                    return self._backlog.popleft()
                if self._stopping:
                    return _SHUTDOWNREQUEST
                waiter = _Waiter()
                self._waiters.append(waiter)
            if waiter.wait(IDLE_SECONDS):
                return waiter.connection
            with self._lock:
                if waiter not in self._waiters:
                    # A connection was assigned just after the wait timed out.
                    return waiter.connection
                self._waiters.remove(waiter)
                if len(self._threads) > self.min:
                    self._threads = [one for one in self._threads if one.ident != me]
                    return _SHUTDOWNREQUEST

    def _start_one(self) -> None:
        worker = WorkerThread(self.server)  # type: ignore[no-untyped-call]
        worker.name = f"{self._name}-{len(self._threads)}"
        worker.daemon = True
        try:
            worker.start()
        except RuntimeError as error:
            # The machine has no thread left. The connection waits for an existing thread;
            # an error here would end the port's accept loop.
            log_event("thread_refused", level="ERROR", port=self._name, error=error)
            return
        self._threads.append(worker)

    def _log_full(self) -> None:
        now = time.monotonic()
        if now - self._full_logged_at < FULL_LOG_SECONDS:
            return
        self._full_logged_at = now
        log_event(
            "threads_full",
            level="WARNING",
            port=self._name,
            threads=self.max,
            waiting=len(self._backlog),
        )


def _join(threads: Iterable[threading.Thread], until: float) -> None:
    for thread in threads:
        thread.join(max(0.0, until - time.monotonic()))
