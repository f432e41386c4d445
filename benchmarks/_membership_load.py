async def measure_rolling(quick):
    return {}


async def measure_cut_off(quick):
    return {}


async def measure_link_bytes(quick):
    return {}
