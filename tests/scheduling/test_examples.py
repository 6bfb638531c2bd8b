"""Doctests of the planning modules."""

import doctest
import unittest

from rowanrail.scheduling import demand, plan, planner


class ExamplesTest(unittest.TestCase):
    def test_docstring_examples(self):
        for module in (demand, plan, planner):
            with self.subTest(module.__name__):
                result = doctest.testmod(module)
                self.assertEqual(result.failed, 0)
                self.assertGreater(result.attempted, 0)
