"""A worker that answers plain requests after some time, and others as a model worker."""

import math
import time
from collections.abc import Iterator
from typing import Any

import cherrypy
from redwingscale_common.network.exchange import read_body

from redwingscale_standins.hosted.model_worker import BODY_LIMIT_BYTES, ModelWorker, WorkerTiming

ANSWER = b"answer"


class MixedWorker(ModelWorker):
    """Rejects plain requests until ``opens_at``, and answers later ones after ``run_seconds``."""

    def __init__(
        self,
        worker_id: str,
        models: dict[str, set[str]],
        run_seconds: float,
        timing: WorkerTiming | None = None,
    ) -> None:
        super().__init__(worker_id, models, timing)
        self.run_seconds = run_seconds
        self.opens_at = -math.inf

    def _run(self, headers: Any) -> bytes | Iterator[bytes]:
        if "X-Redwingscale-Model-Name" in headers:
            return super()._run(headers)
        read_body(BODY_LIMIT_BYTES)
        if (seconds := self.opens_at - time.monotonic()) > 0:
            return self._reject(seconds)
        request = headers["X-Redwingscale-Request-Id"]
        self.runs.append(request)
        time.sleep(self.run_seconds)
        cherrypy.response.headers["X-Redwingscale-Request-Id"] = request
        cherrypy.response.headers["X-Redwingscale-Response-Seal"] = "seal"
        return ANSWER
