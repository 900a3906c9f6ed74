"""Background tasks whose failures are logged, and which are cancelled together.

Owns the tasks of one process or component. A supervised loop that fails is logged, counted and
restarted.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

from limeshelf.util.backoff import full_jitter_s

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


#: Bound of the random delay before a failed loop is restarted; doubles with each failure.
RESTART_BASE_S = 0.1
#: Largest bound of that delay.
RESTART_LIMIT_S = 2.0
#: Time after which a task that has not ended is cancelled again.
CANCEL_RETRY_S = 0.5


class TaskSet:
    """Holds references to background tasks and cancels them together.

    A task that ends with an exception is logged and counted.

    :ivar failures: number of exceptions that ended a task or a run of a supervised loop.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failures = 0

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Start *coroutine* as a task called *name*."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def supervise(
        self, function: Callable[..., Coroutine[Any, Any, None]], name: str, *arguments: Any
    ) -> asyncio.Task[Any]:
        """Run *function* as a task, and restart it whenever it fails.

        For loops that are essential to a process: an exception in one iteration must not end
        the loop while the process continues
        (tests/util/test_tasks.py::test_loop_that_fails_is_restarted).
        """
        return self.spawn(self._run_supervised(function, name, arguments), name)

    async def _run_supervised(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        name: str,
        arguments: tuple[Any, ...],
    ) -> None:
        attempt = 0
        while True:
            try:
                await function(*arguments)
                return
            except Exception as error:
                self.failures += 1
                attempt += 1
                logging.exception('task=%s state=failed_and_kept error=%r', name, error)
            await asyncio.sleep(full_jitter_s(attempt, RESTART_BASE_S, RESTART_LIMIT_S))

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failures += 1
        logging.error('task=%s state=failed error=%r', task.get_name(), task.exception())

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended.

        A task can swallow a cancellation, for example in :func:`asyncio.wait_for` when the
        result arrives at the same moment; such a task is cancelled again.
        """
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
