"""Each field of the configuration document is decoded to the right attribute."""

import unittest

import msgspec
from returns.result import Failure

from rowanrail.model.routing import Consistency, Route, ServiceSpec
from rowanrail.tenants.model import Tenant, key_digest
from tests.support import platform_path  # noqa: F401 - it is imported for its effect

from rowanrail_platform.configuration import JsonDocumentFormat  # isort: skip

DOCUMENT = {
    "version": 9,
    "routes": [
        {
            "name": "r1",
            "host": "orders",
            "service": "db",
            "kind": "bounded_staleness",
            "timeout-ms": 2500,
            "path-prefix": "/a",
            "target-latency-ms": 400,
            "priority": 0,
            "max-staleness-ms": 1500,
            "no-auth": True,
        }
    ],
    "services": [{"name": "db", "max-conns": 33, "sync-replicas": 2}],
    "limits": {"max-body-bytes": 1000, "idle-tx-ms": 7000},
    "tenants": [
        {"name": "anna", "api-keys": ["k1"], "priority": 2, "rate-per-s": 12.5, "burst": 4}
    ],
}


def parse(document):
    return JsonDocumentFormat().parse(msgspec.json.encode(document))


def bound_to_regions(route, tenant):
    """Return the document with regions for its route and its tenant."""
    return DOCUMENT | {
        "routes": [DOCUMENT["routes"][0] | {"allowed-regions": route}],
        "tenants": [DOCUMENT["tenants"][0] | {"allowed-regions": tenant}],
    }


class DocumentFieldsTest(unittest.TestCase):
    def test_every_field_is_decoded(self):
        parsed = parse(DOCUMENT).unwrap()
        route = Route("r1", "orders", "db", Consistency.BOUNDED, 2.5, 0.4, 1.5, 0, True)
        self.assertEqual((parsed.version, parsed.routes), (9, {"orders": route}))
        self.assertEqual(parsed.services, {"db": ServiceSpec("db", 33, 2)})
        self.assertEqual(parsed.idle_transaction_seconds, 7.0)
        self.assertEqual(parsed.maximum_statement_bytes, 1000)
        self.assertEqual(parsed.tenants.by_name, {"anna": Tenant("anna", 2, 12.5, 4)})
        self.assertEqual(parsed.tenants.owners, {key_digest("k1"): "anna"})

    def test_regions_of_routes_and_tenants_are_decoded(self):
        parsed = parse(bound_to_regions(["a", "b"], ["b"])).unwrap()
        self.assertEqual(parsed.routes["orders"].regions, {"a", "b"})
        self.assertEqual(parsed.tenants.by_name["anna"].regions, {"b"})

    def test_an_empty_list_of_regions_means_any(self):
        parsed = parse(bound_to_regions([], [])).unwrap()
        self.assertIsNone(parsed.routes["orders"].regions)
        self.assertIsNone(parsed.tenants.by_name["anna"].regions)

    def test_regions_that_are_no_list_of_names_are_refused(self):
        for regions in ("a", [1], None):
            self.assertIsInstance(parse(bound_to_regions(regions, ["a"])), Failure)
            self.assertIsInstance(parse(bound_to_regions(["a"], regions)), Failure)

    def test_omitted_fields_have_defaults(self):
        route = {"name": "r1", "host": "orders", "service": "db", "kind": "primary"}
        document = {
            "version": 1,
            "routes": [route | {"timeout-ms": 1000}],
            "services": [{"name": "db"}],
        }
        parsed = parse(document).unwrap()
        expected = Route("r1", "orders", "db", Consistency.PRIMARY, 1.0, 1.0, 0.0, 1, False)
        self.assertEqual(parsed.routes, {"orders": expected})
        self.assertEqual(parsed.services, {"db": ServiceSpec("db", 20, 0)})
        self.assertEqual(parsed.idle_transaction_seconds, 60.0)
        self.assertEqual(parsed.maximum_statement_bytes, 262144)
        self.assertIsNone(parsed.tenants)

    def test_problems_use_the_names_of_the_document(self):
        route = DOCUMENT["routes"][0] | {"kind": "x", "timeout-ms": 0, "max-staleness-ms": -1}
        services = [{"name": "db", "max-conns": 0}]
        document = DOCUMENT | {"routes": [route], "services": services}
        result = parse(document)
        self.assertIsInstance(result, Failure)
        self.assertEqual(
            result.failure(),
            [
                "services.db.max-conns: must be above 0",
                "routes.r1.timeout-ms: must be above 0",
                "routes.r1.kind: 'x' is none of primary, bounded_staleness, read_your_writes",
                "routes.r1.max-staleness-ms: must not be below 0",
            ],
        )

    def test_a_value_of_the_wrong_type_is_reported_with_its_path(self):
        route = DOCUMENT["routes"][0] | {"target-latency-ms": "fast"}
        (problem,) = parse(DOCUMENT | {"routes": [route]}).failure()
        self.assertIn("$.routes[0].target-latency-ms", problem)
