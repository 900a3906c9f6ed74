"""The settings files of two machines change a few times while their gateways start.

The platform tells each change with SIGHUP, and starts a process that has ended again shortly
after. The rule: no two machines on which processes end by themselves three times.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from pathlib import Path

from review.stage2.deployment import (
    PLAIN,
    Deployment,
    GatewayProcess,
    Record,
    route,
    trouble,
)

#: A share of 0.3 of the machines get SIGHUP.
MACHINES = 7
SIGNALLED = 2
#: The platform changes the settings of the two machines at this interval, for this long.
CHANGE_S = 0.7
FIRST_CHANGE_S = 0.2
CHANGES_UNTIL_S = 12.0
#: The delay after which an ended process is started again.
RESTART_S = 1.2
LENGTH_S = 25.0
ENDS_ALLOWED = 2


async def keep_running(
    record: Record, gateway: GatewayProcess, ends: dict[str, list[int]]
) -> None:
    """Start a gateway again whenever it has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.02)
        assert gateway.process is not None
        status = gateway.process.poll()
        if status is None:
            continue
        ends[gateway.name].append(status)
        record.write(f'{gateway.name} ended with {status}')
        await asyncio.sleep(RESTART_S)
        gateway.start()
        record.write(f'{gateway.name} started again')


async def change_settings(record: Record, gateway: GatewayProcess) -> None:
    """Change a seed in the settings of a gateway, and tell it with SIGHUP, again and again."""
    for number in range(int(CHANGES_UNTIL_S / CHANGE_S)):
        await asyncio.sleep(CHANGE_S if number else FIRST_CHANGE_S)
        gateway.settings['seeds'] = [*gateway.settings['seeds'][:2], f'127.0.0.1:{1024 + number}']
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)
        record.write(f'{gateway.name} gets SIGHUP')


async def run(record: Record) -> int:
    """Play the run; return the exit status."""
    world = Deployment(record, MACHINES)
    ends: dict[str, list[int]] = {}
    tasks = []
    try:
        await world.start([route('count', 'safe', PLAIN)], plain=3, engines=0)
        record.say('all gateways are ready')
        chosen = world.gateways[:SIGNALLED]
        for gateway in world.gateways:
            ends[gateway.name] = []
        # Planned work: the two machines are stopped and started in turn (roll_term).
        for gateway in chosen:
            gateway.signal(signal.SIGTERM)
            record.write(f'{gateway.name} gets SIGTERM')
        for gateway in chosen:
            await gateway.until_ended()
            gateway.start()
            record.write(f'{gateway.name} starts')
        tasks = [
            asyncio.create_task(keep_running(record, gateway, ends)) for gateway in world.gateways
        ]
        if trouble():
            tasks += [asyncio.create_task(change_settings(record, gateway)) for gateway in chosen]
        for second in range(int(LENGTH_S)):
            await asyncio.sleep(1.0)
            ready = [await world.is_ready(gateway) for gateway in world.gateways]
            record.write(f'ready after {second + 1} s: {ready}')
    finally:
        for task in tasks:
            task.cancel()
        await world.close()
    often = [name for name, statuses in ends.items() if len(statuses) > ENDS_ALLOWED]
    is_broken = len(often) >= 2
    counts = {name: len(statuses) for name, statuses in ends.items() if statuses}
    record.say(f'ends by machine: {counts}; the rule {"is broken" if is_broken else "held"}')
    return int(is_broken)


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    # Whoever runs this may ignore SIGHUP, and processes inherit that.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        return asyncio.run(run(record))
    except Exception:
        record.say(traceback.format_exc())
        return 2


if __name__ == '__main__':
    sys.exit(main())
