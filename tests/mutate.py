"""``make mutate``: takes each mechanism out in turn; its test must go red."""

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
    """A mechanism taken out by replacing *old* by *new* in a file."""

    what: str
    file: str
    old: str
    new: str
    test: str


MUTATIONS = [
    Mutation(
        'open orders do not count in the ledger',
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
        'an unfenced order is settled by its number',
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
        'the unload gate lets everything pass',
        'standalone/placement/gate.py',
        '        if allowed:\n            self._removed',
        '        allowed = True\n        if allowed:\n            self._removed',
        'tests/standalone/placement/test_reachable_machine.py',
    ),
    Mutation(
        'the anchor is not asked before an unload',
        'standalone/placement/gate.py',
        '        if self._anchors.may_be_anchored(unit.model, upstream_id):\n            return False\n',
        '',
        'tests/standalone/placement/test_gate.py',
    ),
    Mutation(
        'an old version goes before the new one stands',
        'standalone/placement/gate.py',
        '        return anchor is not None and all(\n            self._is_ready(item.item_id, anchor.upstream_id) for item in unit.items\n        )',
        '        return True',
        'tests/standalone/placement/test_reachable_machine.py',
    ),
    Mutation(
        'lines of an answer are not checked',
        'standalone/upstreams/engine.py',
        'line.exchange_id != request.exchange_id or line.index != expected',
        'False',
        'tests/standalone/entry/test_models.py',
    ),
    Mutation(
        'the HTTP client repeats by itself',
        'util/http.py',
        '    session._retry_connection = False\n',
        '',
        'tests/standalone/entry/test_plain.py',
    ),
    Mutation(
        'a lost claim answer is taken for ours',
        'standalone/claims/keeper.py',
        "        if row.value['claim_id'] == claim_id:",
        '        if row.value is not None:',
        'tests/standalone/claims/test_claims_machine.py',
    ),
    Mutation(
        'a claim overwrites',
        'standalone/claims/keeper.py',
        '[Condition(row_key, 0)], [Write(row_key, value)]',
        '[], [Write(row_key, value)]',
        'tests/standalone/claims/test_claims_machine.py',
    ),
    Mutation(
        'a refusal of a leaving upstream is forgotten',
        'standalone/entry/model_attempts.py',
        "            self._context.upstreams.mark_leaving(candidate.upstream_id, '')",
        '            pass',
        'tests/standalone/entry/test_models.py',
    ),
    Mutation(
        'leaving is not remembered by boot',
        'standalone/membership/upstreams.py',
        '        return announced or self.listed.state is ListedState.LEAVING',
        '        return self.listed.state is ListedState.LEAVING',
        'tests/standalone/membership',
    ),
    Mutation(
        'a lower revision is taken',
        'standalone/config/holder.py',
        '        if revision <= self.revision:\n            return False\n        self._recent.clear()',
        '        self._recent.clear()',
        'tests/standalone/revisions',
    ),
    Mutation(
        'a write on its way is called not applied',
        'standalone/revisions/store.py',
        'return Undecided() if may_be_written else NotApplied()',
        'return NotApplied()',
        'tests/standalone/revisions',
    ),
    Mutation(
        'the lease is counted twice as long',
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


def goes_red(mutation: Mutation) -> bool:
    """Return whether the test fails on a copy with the mechanism taken out."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            (shutil.copytree if source.is_dir() else shutil.copy)(source, copy / name)
        path = copy / 'limeshelf' / mutation.file
        text = path.read_text()
        if mutation.old not in text:
            raise SystemExit(f'{mutation.what}: {mutation.file} no longer holds the text')
        path.write_text(text.replace(mutation.old, mutation.new, 1))
        done = subprocess.run(
            [sys.executable, '-m', 'pytest', '-x', '-q', mutation.test],
            cwd=copy,
            env={**os.environ, 'PYTHONPATH': str(copy), NO_SHRINK: '1'},
            capture_output=True,
            timeout=LIMIT_S,
        )
    return done.returncode == 1


def main() -> int:
    """Take each mechanism out and print a line for each."""
    survived = 0
    for mutation in MUTATIONS:
        red = goes_red(mutation)
        survived += not red
        print(f'{"red" if red else "GREEN":<6}{mutation.what:<52}{mutation.test}', flush=True)
    print(f'{len(MUTATIONS) - survived} went red, {survived} stayed green')
    return 1 if survived else 0


if __name__ == '__main__':
    sys.exit(main())
