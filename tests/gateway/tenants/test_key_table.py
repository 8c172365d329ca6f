"""Keys identify their tenants, and do not appear in their representation."""

from __future__ import annotations

import testtools

from stagewalk.gateway.tenants.key_table import KeyTable
from stagewalk.gateway.tenants.tenant import Tenant

A = Tenant("a", ("key-1", "key-2"), 1)
B = Tenant("b", ("key-3",))


class KeyTableTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.keys = KeyTable()

    def test_keys_are_enforced_only_while_tenants_are_published(self) -> None:
        self.assertFalse(self.keys.enforced)
        self.keys.replace(())
        self.assertTrue(self.keys.enforced)
        self.keys.replace(None)
        self.assertFalse(self.keys.enforced)

    def test_each_key_of_a_tenant_identifies_it(self) -> None:
        self.keys.replace((A, B))
        self.assertEqual([A, A, B], [self.keys.find(f"Bearer key-{n}") for n in (1, 2, 3)])
        self.assertEqual(A, self.keys.find("bearer  key-1 "))

    def test_unknown_keys_and_other_headers_identify_no_tenant(self) -> None:
        self.keys.replace((A, B))
        for header in (None, "", "Bearer", "Bearer ", "Bearer key-9", "Basic key-1", "key-1"):
            self.assertIsNone(self.keys.find(header), header)

    def test_a_key_is_removed_restored_and_moved(self) -> None:
        self.keys.replace((A, B))
        self.keys.replace((Tenant("a", ("key-2",)), B))
        self.assertIsNone(self.keys.find("Bearer key-1"))
        self.keys.replace((A, B))
        self.assertEqual("a", self.keys.find("Bearer key-1").name)
        self.keys.replace((Tenant("a", ()), Tenant("b", ("key-1", "key-3"))))
        self.assertEqual("b", self.keys.find("Bearer key-1").name)
        self.assertIsNone(self.keys.find("Bearer key-2"))

    def test_a_key_is_in_no_representation(self) -> None:
        self.assertNotIn("key-", repr((A, B)))
