"""``make mutate``: mutation tests; disables each mechanism in turn, which a test must detect."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs

from tests.support.fuzzing import NO_SHRINK

ROOT = Path(__file__).parent.parent
COPIED = ('limeshelf', 'standins', 'tests', 'pyproject.toml')
LIMIT_S = 300


@attrs.frozen
class Mutation:
    """A mutation that disables a mechanism by replacing *old* with *new* in a file."""

    description: str
    file: str
    old: str
    new: str
    test: str


MUTATIONS = [
    Mutation(
        'unconfirmed orders do not count in the ledger',
        'standalone/placement/ledger.py',
        '        for entry in self.open_orders:\n            order = entry.order\n            if order.action is OrderAction.LOAD',
        '        for entry in ():\n            order = entry.order\n            if order.action is OrderAction.LOAD',
        'tests/standalone/placement/test_memory_machine.py',
    ),
    Mutation(
        'the fence is trusted across an engine restart',
        'standalone/placement/worker.py',
        'return self._ready_for == (self._lease.epoch, self.ledger.report.boot_id)',
        'return self._ready_for is not None and self._ready_for[0] == self._lease.epoch',
        'tests/standalone/placement/test_memory_scenarios.py',
    ),
    Mutation(
        'an unfenced order is resolved by its number',
        'standalone/placement/ledger.py',
        'return now_s > entry.resolved_after_s',
        'return entry.order.number <= self.report.last_order',
        'tests/standalone/placement/test_memory_scenarios.py',
    ),
    Mutation(
        "the predecessor's intents are not read",
        'standalone/placement/worker.py',
        'orders = await self._intents.read()',
        'orders = []',
        'tests/standalone/placement/test_memory_scenarios.py',
    ),
    Mutation(
        'the unload gate allows every unload',
        'standalone/placement/gate.py',
        '        if allowed:\n            self._removed',
        '        allowed = True\n        if allowed:\n            self._removed',
        'tests/standalone/placement/test_reachable_machine.py',
    ),
    Mutation(
        'unloads ignore the anchor',
        'standalone/placement/gate.py',
        '        if self._anchors.may_be_anchored(unit.model, upstream_id):\n            return False\n',
        '',
        'tests/standalone/placement/test_gate.py',
    ),
    Mutation(
        'an old version is unloaded before the new is ready',
        'standalone/placement/gate.py',
        '        return anchor is not None and all(\n            self._is_ready(item.item_id, anchor.upstream_id) for item in unit.items\n        )',
        '        return True',
        'tests/standalone/placement/test_reachable_machine.py',
    ),
    Mutation(
        'lines of a response are not checked',
        'standalone/upstreams/engine.py',
        'line.exchange_id != request.exchange_id or line.index != expected',
        'False',
        'tests/standalone/entry/test_models.py',
    ),
    Mutation(
        'the HTTP client retries automatically',
        'util/http.py',
        '    session._retry_connection = False\n',
        '',
        'tests/standalone/entry/test_plain.py',
    ),
    Mutation(
        'any existing claim is treated as our own',
        'standalone/claims/keeper.py',
        "        if row.value['claim_id'] == claim_id:",
        '        if row.value is not None:',
        'tests/standalone/claims/test_claims_machine.py',
    ),
    Mutation(
        'a claim overwrites an existing one',
        'standalone/claims/keeper.py',
        '[Condition(row_key, 0)], [Write(row_key, value)]',
        '[], [Write(row_key, value)]',
        'tests/standalone/claims/test_claims_machine.py',
    ),
    Mutation(
        'a refusal by a leaving upstream is not recorded',
        'standalone/entry/model_attempts.py',
        "            self._context.upstreams.mark_leaving(candidate.upstream_id, '')",
        '            pass',
        'tests/standalone/entry/test_models.py',
    ),
    Mutation(
        'a leaving notice is not kept for the boot',
        'standalone/membership/upstreams.py',
        '        return announced or self.listed.state is ListedState.LEAVING',
        '        return self.listed.state is ListedState.LEAVING',
        'tests/standalone/membership',
    ),
    Mutation(
        'a lower revision is accepted',
        'standalone/config/holder.py',
        '        if revision <= self.revision:\n            return False\n        self._recent.clear()',
        '        self._recent.clear()',
        'tests/standalone/revisions',
    ),
    Mutation(
        'a write in transit is reported as not applied',
        'standalone/revisions/store.py',
        'return Undecided() if may_be_written else NotApplied()',
        'return NotApplied()',
        'tests/standalone/revisions',
    ),
    Mutation(
        'the lease is assumed to last twice as long',
        'standalone/lease/keeper.py',
        'self.held = HeldLease(epoch, started_s + self._lease_s)\n            return\n        await',
        'self.held = HeldLease(epoch, started_s + 2 * self._lease_s)\n            return\n        await',
        'tests/standalone/lease',
    ),
    Mutation(
        'retries have no budget',
        'standalone/admission/retries.py',
        '        if self._saved < 1.0:\n            return False\n',
        '',
        'tests/standalone/entry/test_models.py',
    ),
]


def is_detected(mutation: Mutation) -> bool:
    """Return whether the test fails on a copy with the mutation applied."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            (shutil.copytree if source.is_dir() else shutil.copy)(source, copy / name)
        path = copy / 'limeshelf' / mutation.file
        text = path.read_text()
        if mutation.old not in text:
            raise SystemExit(
                f'{mutation.description}: {mutation.file} no longer contains the text'
            )
        path.write_text(text.replace(mutation.old, mutation.new, 1))
        completed = subprocess.run(
            [sys.executable, '-m', 'pytest', '-x', '-q', mutation.test],
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': str(copy), NO_SHRINK: '1'},
            capture_output=True,
            timeout=LIMIT_S,
        )
    return completed.returncode == 1


def main() -> int:
    """Apply each mutation in turn and print a line for each."""
    survived = 0
    for mutation in MUTATIONS:
        detected = is_detected(mutation)
        survived += not detected
        print(
            f'{"red" if detected else "GREEN":<6}{mutation.description:<52}{mutation.test}',
            flush=True,
        )
    print(f'{len(MUTATIONS) - survived} went red, {survived} stayed green')
    return 1 if survived else 0


if __name__ == '__main__':
    sys.exit(main())
