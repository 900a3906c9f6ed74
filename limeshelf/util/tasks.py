"""Background tasks that are never lost silently, and end together.

Owns the tasks of one process or component. A loop that fails is logged, counted and
run again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

from limeshelf.util.backoff import full_jitter_s

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


#: Bound of the random pause before a failed loop is run again; doubled with each failure.
AGAIN_BASE_S = 0.1
#: Largest bound of that pause.
AGAIN_LIMIT_S = 2.0
#: A task that has not ended this long after its cancellation is cancelled again.
CANCEL_AGAIN_S = 0.5


class TaskSet:
    """Keeps background tasks alive and cancels them together.

    A task that ends by an error is logged and counted.

    :ivar failures: errors that ended a task, or a turn of a kept loop.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failures = 0

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Start *coroutine* as a task called *name*."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def keep(
        self, function: Callable[..., Coroutine[Any, Any, None]], name: str, *arguments: Any
    ) -> asyncio.Task[Any]:
        """Run *function* as a task, and again whenever it fails.

        For loops that a process cannot do without: a fault in one turn must not
        end the loop while the process otherwise goes on
        (tests/util/test_tasks.py::test_loop_that_fails_is_run_again).
        """
        return self.spawn(self._keep(function, name, arguments), name)

    async def _keep(
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
            await asyncio.sleep(full_jitter_s(attempt, AGAIN_BASE_S, AGAIN_LIMIT_S))

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failures += 1
        logging.error('task=%s state=failed error=%r', task.get_name(), task.exception())

    async def close(self) -> None:
        """Cancel every task and wait until all have ended.

        A cancellation can get lost inside a task, for example in
        :func:`asyncio.wait_for` when its result arrives at the same moment;
        such a task is cancelled again.
        """
        pending = set(self._tasks)
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
