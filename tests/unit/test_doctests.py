"""The examples in the docstrings of the gateway's decisions hold."""

import doctest
import importlib
import unittest

MODULES = (
    "rowanrail.cli.load_view",
    "rowanrail.gateway.error_share",
    "rowanrail.gateway.locality",
    "rowanrail.gateway.primary",
    "rowanrail.gateway.samples",
    "rowanrail.relay.placement",
    "rowanrail.tenants.demand",
    "rowanrail.tenants.model",
    "rowanrail.tenants.precedence",
    "rowanrail.tenants.quota",
    "rowanrail.tenants.window",
)


class DoctestsTest(unittest.TestCase):
    def test_every_example_holds(self):
        for name in MODULES:
            with self.subTest(name):
                result = doctest.testmod(importlib.import_module(name))
                self.assertEqual(result.failed, 0)
                self.assertGreater(result.attempted, 0)
