"""Decoding and validation of tenants and API keys in a configuration document."""

import unittest

import msgspec
from returns.result import Failure, Success

from rowanrail.tenants.model import ANONYMOUS, ClientIdentity, key_digest
from tests.support import platform_path  # noqa: F401 - it is imported for its effect
from tests.support.platform_fleet import configuration

from rowanrail_platform.configuration import JsonDocumentFormat  # isort: skip


def tenant(name, *keys, **changes):
    return {"name": name, "api-keys": list(keys), "rate-per-s": 10, "burst": 5, **changes}


def parse(*tenants, **changes):
    document = configuration(7, tenants=list(tenants), **changes)
    return JsonDocumentFormat().parse(msgspec.json.encode(document))


class TenantsOfDocumentTest(unittest.TestCase):
    def test_only_digests_of_keys_are_kept(self):
        tenants = parse(tenant("a", "secret-1", "secret-2"), tenant("b", "secret-3")).unwrap()
        self.assertNotIn("secret", repr(tenants))
        self.assertEqual(tenants.tenants.owners[key_digest("secret-2")], "a")
        self.assertEqual(tenants.tenants.by_name["b"].rate, 10)

    def test_a_document_without_tenants_needs_no_keys(self):
        parsed = JsonDocumentFormat().parse(msgspec.json.encode(configuration(7)))
        self.assertIsNone(parsed.unwrap().tenants)

    def test_routes_that_allow_anonymous_clients(self):
        document = configuration(7, tenants=[])
        document["routes"][0]["no-auth"] = True
        parsed = JsonDocumentFormat().parse(msgspec.json.encode(document)).unwrap()
        self.assertEqual([route.takes_anybody for route in parsed.routes.values()].count(True), 1)

    def test_problems_name_the_path_and_never_the_key(self):
        cases = {
            "tenants.b.api-keys.0": [tenant("a", "secret-1"), tenant("b", "secret-1")],
            "tenants.a.api-keys.1": [tenant("a", "secret-1", "secret-1")],
            "tenants.a.api-keys.0": [tenant("a", "")],
            "tenants.a.rate-per-s": [tenant("a", **{"rate-per-s": -1})],
            "tenants.a.burst": [tenant("a", burst=-0.5)],
            "tenants.a: its name": [tenant("a", "secret-1"), tenant("a", "secret-2")],
            "tenants.a b: its name": [tenant("a b")],
        }
        for path, tenants in cases.items():
            with self.subTest(path):
                parsed = parse(*tenants)
                self.assertIsInstance(parsed, Failure)
                (problem,) = parsed.failure()
                self.assertTrue(problem.startswith(path), problem)
                self.assertNotIn("secret", problem)

    def test_a_rate_that_is_not_a_finite_number_is_invalid(self):
        for rate in ("many", float("inf"), [1]):
            raw = msgspec.json.encode(configuration(7, tenants=[tenant("a")]))
            raw = raw.replace(b'"rate-per-s":10', b'"rate-per-s":' + msgspec.json.encode(rate))
            if rate == float("inf"):
                raw = raw.replace(b"null", b"1e999")
            self.assertIsInstance(JsonDocumentFormat().parse(raw), Failure, rate)

    def test_a_tenant_without_limits_is_valid(self):
        self.assertIsInstance(parse({"name": "a", "api-keys": ["k"]}), Success)


class IdentityTest(unittest.TestCase):
    def setUp(self):
        self.tenants = parse(tenant("a", "k1")).unwrap().tenants

    def test_a_known_key_identifies_its_tenant_on_every_route(self):
        known = ClientIdentity("a", key_digest("k1"))
        for takes_anybody in (False, True):
            self.assertEqual(self.tenants.identify(key_digest("k1"), takes_anybody), known)

    def test_an_unknown_key_is_accepted_only_on_anonymous_routes(self):
        self.assertIsNone(self.tenants.identify(key_digest("k2"), False))
        self.assertEqual(self.tenants.identify(key_digest("k2"), True), ClientIdentity(ANONYMOUS))
