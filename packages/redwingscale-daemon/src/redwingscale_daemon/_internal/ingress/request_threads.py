"""The threads of a port: they come with need and go when they rest."""

import threading
import time
from collections import deque
from typing import Any

from cheroot.workers.threadpool import (  # type: ignore[attr-defined]
    _SHUTDOWNREQUEST,
    ThreadPool,
    WorkerThread,
)
from redwingscale_common.utils.logs import log_event

# A thread that has had nothing to do for this long ends. Callers come in bursts of
# some seconds: what one burst has started serves the next one.
IDLE_SECONDS = 10.0
# One line for a bound that is met again and again.
FULL_LOG_SECONDS = 5.0


class _Waiter:
    """A thread that waits for a connection."""

    def __init__(self) -> None:
        self._assigned = threading.Lock()
        self._assigned.acquire()
        self.connection: Any = None

    def assign(self, connection: Any) -> None:
        """Wake the thread with ``connection``."""
        self.connection = connection
        self._assigned.release()

    def wait(self, seconds: float) -> bool:
        """Return whether a connection has come in time."""
        return self._assigned.acquire(timeout=seconds)


class RequestThreads(ThreadPool):
    """Between ``least`` and ``most`` threads; the one that rested last is taken first.

    A thread for each request that may ever be open at once would have most of them
    rest all day, and some hundred instances would use up a machine's threads. Taken in
    turn, all would be in use now and then and none could end: so the last one to rest
    serves next, and those that have rested longest end by themselves.
    """

    _threads: list[threading.Thread]

    def __init__(self, server: Any, name: str, minimum: int, maximum: int) -> None:
        super().__init__(server, min=minimum, max=maximum)
        self._name = name
        self._lock = threading.Lock()
        self._waiters: list[_Waiter] = []
        # Threads that have a connection: one that has just started has none yet.
        self._serving: set[int] = set()
        self._backlog: deque[Any] = deque()
        self._stopping = False
        self._full_logged_at = float("-inf")
        # The server's threads take their connections from this attribute.
        self.get = self._next_connection

    @property
    def busy(self) -> int:
        """How many threads have a connection."""
        return len(self._serving)

    @property
    def qsize(self) -> int:
        """How many connections wait for a thread."""
        return len(self._backlog)

    def start(self) -> None:
        """Start the least number of threads."""
        with self._lock:
            for _ in range(self.min):
                self._start_one()

    def put(self, obj: Any) -> None:
        """Give a connection to a resting thread, else to a new one, else to the next free."""
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
        """End all threads; connections that wait are served first."""
        with self._lock:
            self._stopping = True
            for waiter in self._waiters:
                waiter.assign(_SHUTDOWNREQUEST)
            self._waiters.clear()
        super().stop(timeout)

    def _next_connection(self) -> Any:
        me = threading.get_ident()
        self._serving.discard(me)
        connection = self._await_connection()
        if connection is not _SHUTDOWNREQUEST:
            self._serving.add(me)
        return connection

    def _await_connection(self) -> Any:
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
                    # It was given a connection just when its rest ended.
                    return waiter.connection
                self._waiters.remove(waiter)
                if len(self._threads) > self.min:
                    self._threads.remove(threading.current_thread())
                    return _SHUTDOWNREQUEST

    def _start_one(self) -> None:
        worker: threading.Thread = WorkerThread(self.server)  # type: ignore[no-untyped-call]
        worker.name = f"{self._name}-{len(self._threads)}"
        worker.daemon = True
        try:
            worker.start()
        except RuntimeError as error:
            # The machine has no room for a thread: the ones that there are go on, and
            # the connection waits for one of them. An error here would end the port.
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
