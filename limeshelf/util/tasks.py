"""Groups of long-running tasks that end together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Coroutine


class TaskSet:
    """Keeps background tasks alive and cancels them together.

    A task that dies of an error is logged and counted; it is never lost
    silently.
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

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failures += 1
        logging.error('task=%s state=failed error=%r', task.get_name(), task.exception())

    async def close(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
