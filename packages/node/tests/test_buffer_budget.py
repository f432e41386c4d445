"""The bound on bodies: refusal, waiting in order, cancellation."""

import asyncio

from ibisspoke_node.buffer_budget import BufferBudget


async def _turn() -> None:
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

    async def take(n_bytes: int) -> None:
        await budget.wait_for(n_bytes)
        order.append(n_bytes)

    tasks = [asyncio.create_task(take(n_bytes)) for n_bytes in (8, 1, 3)]
    await _turn()
    assert order == []
    budget.release(5)
    await _turn()
    assert order == []
    budget.release(5)
    await _turn()
    assert order == [8, 1]
    budget.release(8)
    await _turn()
    assert order == [8, 1, 3]
    assert budget.n_bytes == 4
    assert all(task.done() for task in tasks)


async def test_more_than_the_bound_is_taken_alone():
    budget = BufferBudget(10)
    budget.hold(1)
    task = asyncio.create_task(budget.wait_for(50))
    await _turn()
    assert not task.done()
    budget.release(1)
    await _turn()
    assert (task.done(), budget.n_bytes) == (True, 50)


async def test_cancelled_waiter_lets_the_next_one_in():
    budget = BufferBudget(10)
    budget.hold(6)
    first = asyncio.create_task(budget.wait_for(9))
    second = asyncio.create_task(budget.wait_for(4))
    await _turn()
    first.cancel()
    await _turn()
    assert (second.done(), budget.n_bytes) == (True, 10)


async def test_waiter_cancelled_after_its_grant_gives_the_bytes_back():
    budget = BufferBudget(10)
    budget.hold(10)
    task = asyncio.create_task(budget.wait_for(4))
    await _turn()
    budget.release(10)
    task.cancel()
    await _turn()
    assert (task.cancelled(), budget.n_bytes) == (True, 0)
