"""Eager tasks: first step, cancellation, timeouts and the current task."""

import asyncio
import logging

import pytest

from ibisspoke_node.eager_task import EagerTask

MAX_LOOP_ITERATIONS = 10


async def test_first_step_runs_before_the_constructor_returns():
    steps = []

    async def run() -> None:
        steps.append("started")
        await asyncio.sleep(0)
        steps.append("resumed")

    task = EagerTask(run())
    assert steps == ["started"]
    assert not task.done()
    await asyncio.sleep(0)
    assert steps == ["started", "resumed"]
    assert task.done()


async def test_result_of_a_future_arrives():
    future: asyncio.Future[int] = asyncio.Future()
    results = []

    async def run() -> None:
        results.append(await future)

    EagerTask(run())
    future.set_result(7)
    await asyncio.sleep(0)
    assert results == [7]


async def test_cancel_raises_at_the_wait_and_runs_the_clean_up():
    future: asyncio.Future[None] = asyncio.Future()
    seen = []

    async def run() -> None:
        try:
            await future
        except asyncio.CancelledError:
            seen.append("cancelled")
            raise

    task = EagerTask(run())
    assert task.cancel()
    await asyncio.sleep(0)
    assert (seen, task.done(), future.cancelled()) == (["cancelled"], True, True)
    assert not task.cancel()


async def test_cancel_from_inside_is_raised_at_the_next_wait():
    future: asyncio.Future[None] = asyncio.Future()

    async def run() -> None:
        current = asyncio.current_task()
        assert current is not None
        current.cancel()
        await future

    task = EagerTask(run())
    await asyncio.sleep(0)
    assert task.done()
    assert future.cancelled()


async def test_timeout_ends_the_wait_and_not_the_task():
    seen = []

    async def run() -> None:
        try:
            async with asyncio.timeout(0):
                await asyncio.Future()
        except TimeoutError:
            seen.append("timeout")
        await asyncio.sleep(0)
        seen.append("went on")

    task = EagerTask(run())
    for _ in range(MAX_LOOP_ITERATIONS):
        await asyncio.sleep(0)
    assert task.done()
    assert seen == ["timeout", "went on"]
    assert task.cancelling() == 0


async def test_current_task_is_the_innermost_and_is_restored():
    outer = asyncio.current_task()
    inside = []

    async def run() -> None:
        inside.append(asyncio.current_task())

    task = EagerTask(run())
    assert inside == [task]
    assert asyncio.current_task() is outer


async def test_exception_is_logged(caplog: pytest.LogCaptureFixture):
    async def run() -> None:
        raise ValueError("wrong")

    with caplog.at_level(logging.ERROR):
        task = EagerTask(run())
    assert task.done()
    assert "wrong" in caplog.text
