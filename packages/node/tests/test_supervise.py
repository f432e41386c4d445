"""Tests of background loops: they restart after an exception and end on exit."""

import asyncio

from ibisspoke_node.supervise import running_loops


async def test_loop_that_fails_is_started_again():
    starts = []
    healthy = asyncio.Event()

    async def loop():
        starts.append(len(starts))
        if len(starts) < 3:
            raise RuntimeError("fault for this test")
        healthy.set()
        await asyncio.Event().wait()

    async with running_loops(loop, restart_delay_ms=0.0):
        await asyncio.wait_for(healthy.wait(), 60.0)
    assert starts == [0, 1, 2]


async def test_fault_of_one_loop_leaves_the_others_alone():
    n_iterations = 0
    done = asyncio.Event()

    async def failing():
        raise RuntimeError("fault for this test")

    async def working():
        nonlocal n_iterations
        while n_iterations < 5:
            n_iterations += 1
            await asyncio.sleep(0)
        done.set()

    async with running_loops(failing, working, restart_delay_ms=0.0):
        await asyncio.wait_for(done.wait(), 60.0)
    assert n_iterations == 5


async def test_loops_end_with_the_context():
    ended = []

    async def loop():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(True)

    async with running_loops(loop):
        await asyncio.sleep(0)
    assert ended == [True]
