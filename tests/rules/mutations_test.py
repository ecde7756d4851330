#!/usr/bin/env python3
"""Checks that each entry of tests/rules/mutations.py still fits the code, without building anything.

    tests/rules/mutations_test.py
"""

import collections
import pathlib
import re
import unittest

from mutations import MUTATIONS, Script, UnitTest

ROOT = pathlib.Path(__file__).resolve().parents[2]


def unit_tests() -> set[UnitTest]:
    """Of tests/DIRECTORY/*.cpp; the executable bears the directory's name."""
    return {UnitTest(file.parent.name, f"{suite}::{name}")
            for file in (ROOT / "tests").glob("*/*.cpp")
            for suite, name in re.findall(r"^Test\((\w+),\s*(\w+)", file.read_text(), re.MULTILINE)}


class Mutations(unittest.TestCase):
    def test_names_are_unique(self):
        counts = collections.Counter(mutation.name for mutation in MUTATIONS)
        self.assertEqual([name for name, count in counts.items() if count > 1], [])

    def test_each_fits_one_place_and_changes_it(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.name):
                self.assertEqual((ROOT / mutation.file).read_text().count(mutation.old), 1)
                self.assertNotEqual(mutation.old, mutation.new)

    def test_each_has_guards_that_exist(self):
        existing = unit_tests()
        for mutation in MUTATIONS:
            with self.subTest(mutation.name):
                self.assertTrue(mutation.guards)
                for guard in mutation.guards:
                    if isinstance(guard, Script):
                        self.assertTrue((ROOT / guard.command[0]).exists(), guard)
                    else:
                        self.assertTrue(guard in existing, f"no such test: {guard}")


if __name__ == "__main__":
    unittest.main()
