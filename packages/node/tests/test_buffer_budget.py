"""Limit on the bytes of bodies: refusal, order of waiting, cancellation."""

import asyncio

from ibisspoke_node.buffer_budget import BufferBudget


async def _run_loop() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_reserve_refuses_what_does_not_fit():
    budget = BufferBudget(10)
    assert budget.reserve(10)
    assert not budget.reserve(1)
    budget.release(10)
    assert budget.reserve(1)


async def test_waiters_are_served_in_order_of_arrival():
    budget = BufferBudget(10)
    budget.hold(10)
    order = []

    async def reserve(n_bytes: int) -> None:
        await budget.wait_for(n_bytes)
        order.append(n_bytes)

    tasks = [asyncio.create_task(reserve(n_bytes)) for n_bytes in (8, 1, 3)]
    await _run_loop()
    assert order == []
    budget.release(5)
    await _run_loop()
    assert order == []
    budget.release(5)
    await _run_loop()
    assert order == [8, 1]
    budget.release(8)
    await _run_loop()
    assert order == [8, 1, 3]
    assert budget.n_bytes == 4
    assert all(task.done() for task in tasks)


async def test_more_than_the_limit_is_granted_when_nothing_else_is_held():
    budget = BufferBudget(10)
    budget.hold(1)
    task = asyncio.create_task(budget.wait_for(50))
    await _run_loop()
    assert not task.done()
    budget.release(1)
    await _run_loop()
    assert (task.done(), budget.n_bytes) == (True, 50)


async def test_cancelled_waiter_does_not_block_the_next_one():
    budget = BufferBudget(10)
    budget.hold(6)
    first = asyncio.create_task(budget.wait_for(9))
    second = asyncio.create_task(budget.wait_for(4))
    await _run_loop()
    first.cancel()
    await _run_loop()
    assert (second.done(), budget.n_bytes) == (True, 10)


async def test_waiter_cancelled_after_its_grant_releases_the_bytes():
    budget = BufferBudget(10)
    budget.hold(10)
    task = asyncio.create_task(budget.wait_for(4))
    await _run_loop()
    budget.release(10)
    task.cancel()
    await _run_loop()
    assert (task.cancelled(), budget.n_bytes) == (True, 0)
