"""Requests that a test sends beside those that it is about."""

import threading

import urllib3

from redwingscale_standins.hosted.instance_process import InstanceProcess

EVENTS = 5
WHOLE = (200, [*range(1, EVENTS + 1)])
Answer = tuple[int, list[int]] | str


class OtherRequests:
    """Requests streams of the model "m1", one after another, while the block runs."""

    def __init__(self, instance: InstanceProcess) -> None:
        self._instance = instance
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.answers: list[Answer] = []

    def __enter__(self) -> "OtherRequests":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    @property
    def broken(self) -> list[Answer]:
        """The answers that are not whole."""
        return [answer for answer in self.answers if answer != WHOLE]

    def _run(self) -> None:
        while not self._stopped.is_set():
            name = f"other{len(self.answers) + 1}"
            try:
                self.answers.append(self._instance.request_stream("m1", EVENTS, request=name))
            except urllib3.exceptions.HTTPError as error:
                self.answers.append(repr(error))
