"""Time and memory of keys: `python -m tests.gateway.tenants.benchmark_keys`.

Before there was a table, no key was looked at. Seen with CPython 3.11: see docs/TENANTS.md.
"""

from __future__ import annotations

import time
import tracemalloc

from stagewalk.gateway.tenants.key_table import KeyTable
from stagewalk.gateway.tenants.tenant import Tenant

KEYS_OF_A_TENANT = 4
LOOK_UPS = 200_000


def _tenants(keys: int, changed: int = 0) -> tuple[Tenant, ...]:
    """Return tenants with so many keys; the first `changed` tenants hold another first key."""
    return tuple(
        Tenant(
            f"tenant-{n}",
            tuple(
                f"{'new' if n < changed and k == 0 else 'key'}-{n:06}-{k:02}-0123456789"
                for k in range(KEYS_OF_A_TENANT)
            ),
        )
        for n in range(keys // KEYS_OF_A_TENANT)
    )


def _seconds(action) -> float:
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


def main() -> None:
    for keys in (100, 10_000, 100_000):
        before, same, changed = _tenants(keys), _tenants(keys), _tenants(keys, changed=1)
        table = KeyTable()
        tracemalloc.start()
        table.replace(before)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        taken = _seconds(lambda table=table, changed=changed: table.replace(changed))
        table.replace(before)
        compared = _seconds(lambda table=table, same=same: table.replace(same))
        header = f"Bearer {before[-1].keys[0]}"
        looked_up = _seconds(
            lambda table=table, header=header: [table.find(header) for _ in range(LOOK_UPS)]
        )
        print(
            f"{keys} keys: look-up {looked_up / LOOK_UPS * 1e6:.2f} us, one key changed "
            f"{taken * 1e3:.2f} ms, none changed {compared * 1e3:.2f} ms, "
            f"{held / keys:.0f} bytes a key beside the configuration"
        )


if __name__ == "__main__":
    main()
