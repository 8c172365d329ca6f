"""Measures the time and memory of a key table.

python -m tests.gateway.tenants.benchmark_keys
"""

from __future__ import annotations

import time
import tracemalloc

from stagewalk.gateway.tenants.key_table import KeyTable
from stagewalk.gateway.tenants.tenant import Tenant

KEYS_PER_TENANT = 4
LOOKUPS = 200_000


def _tenants(keys: int, changed: int = 0) -> tuple[Tenant, ...]:
    """Return tenants with `keys` keys in all; the first `changed` have another first key."""
    return tuple(
        Tenant(
            f"tenant-{n}",
            tuple(
                f"{'new' if n < changed and k == 0 else 'key'}-{n:06}-{k:02}-0123456789"
                for k in range(KEYS_PER_TENANT)
            ),
        )
        for n in range(keys // KEYS_PER_TENANT)
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
        table_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        replace_seconds = _seconds(lambda table=table, changed=changed: table.replace(changed))
        table.replace(before)
        compare_seconds = _seconds(lambda table=table, same=same: table.replace(same))
        header = f"Bearer {before[-1].keys[0]}"
        lookup_seconds = _seconds(
            lambda table=table, header=header: [table.find(header) for _ in range(LOOKUPS)]
        )
        print(
            f"{keys} keys: look-up {lookup_seconds / LOOKUPS * 1e6:.2f} us, one key changed "
            f"{replace_seconds * 1e3:.2f} ms, none changed {compare_seconds * 1e3:.2f} ms, "
            f"{table_bytes / keys:.0f} bytes a key beside the configuration"
        )


if __name__ == "__main__":
    main()
