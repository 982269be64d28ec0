"""Steps of a planned stop: each has a deadline and leaves a log line."""

import asyncio
from collections.abc import Awaitable, Collection

from loguru import logger

MS_PER_S = 1000


async def run_step(name: str, work: Awaitable[object], deadline: float) -> bool:
    """Run one step of a stop until it ends, or until its deadline.

    A step that is late is cancelled and left behind: it may never end. Errors
    of a step are logged and do not stop the next one.

    Args:
        name: Name of the step in the log.
        work: The step.
        deadline: When to leave it behind, on the loop's clock.

    Returns:
        Whether it ended without an error.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    task = asyncio.ensure_future(work)
    await asyncio.wait((task,), timeout=max(deadline - started_at, 0))
    problem = _find_problem(task)
    task.cancel()
    logger.bind(
        event='stop_step',
        step=name,
        took_ms=int((loop.time() - started_at) * MS_PER_S),
        left_ms=int((deadline - loop.time()) * MS_PER_S),
        problem=problem,
    ).info('step {} of the stop', name)
    return not problem


def _find_problem(task: 'asyncio.Future[object]') -> str:
    """Return why a step did not end well, empty if it did."""
    if not task.done():
        return 'late'
    if task.cancelled():
        return 'cancelled'
    exc = task.exception()
    return '' if exc is None else repr(exc)


async def cancel_tasks(
    tasks: Collection[asyncio.Task[None]], deadline: float
) -> None:
    """Cancel tasks and wait for their end; log those that are slow to end.

    Args:
        tasks: The tasks, named for the log.
        deadline: When to leave them behind, on the loop's clock.
    """
    for task in tasks:
        task.cancel()
    if not tasks:
        return
    left_s = deadline - asyncio.get_running_loop().time()
    _, slow = await asyncio.wait(tasks, timeout=max(left_s, 0))
    if slow:
        names = sorted(task.get_name() for task in slow)
        logger.bind(event='tasks_left', tasks=names).warning('tasks do not end')
