#!/usr/bin/env python3
"""Proves that tests/layering.py finds each kind of violation, on small trees made for it."""
import pathlib
import subprocess
import sys
import tempfile

CHECK = pathlib.Path(__file__).resolve().parent / "layering.py"
GOOD = {
    "packages/base/CMakeLists.txt": "dockbend_package(base)",
    "packages/base/include/base/types.hpp": "#include <string>",
    "packages/transport/CMakeLists.txt": "dockbend_package(transport\n  DEPENDS base\n  EXTERNAL PkgConfig::EVENT)",
    "packages/transport/include/transport/link.hpp": "#include <event2/event.h>",
    "packages/leases/CMakeLists.txt": "dockbend_package(leases DEPENDS transport)",
    "packages/leases/include/leases/client.hpp": '#include "transport/link.hpp"',
    "packages/quota/CMakeLists.txt": "dockbend_package(quota\n  DEPENDS leases)",
    "packages/quota/private.hpp": "",
    "packages/quota/quota.cpp": '#include "base/types.hpp"\n#include "private.hpp"',
}
# Name, files that differ from GOOD, what the check must say.
BAD = [
    ("undeclared package", {"packages/base/types.cpp": '#include "transport/link.hpp"'},
     "packages/base/types.cpp:1: includes transport/link.hpp, but DEPENDS of base does not lead to transport"),
    ("missing header", {"packages/quota/quota.cpp": '\n#include "nowhere.hpp"'}, "quota.cpp:2: nowhere.hpp is no header"),
    ("unknown dependency", {"packages/base/CMakeLists.txt": "dockbend_package(base DEPENDS nowhere)"},
     "DEPENDS names nowhere, which is no package"),
    ("cycle", {"packages/base/CMakeLists.txt": "dockbend_package(base DEPENDS quota)"}, "DEPENDS leads back to base"),
    ("direct library", {"packages/quota/quota.cpp": "#include <sqlite3.h>"}, "without I/O and reaches sqlite3.h"),
    ("direct package", {"packages/quota/quota.cpp": '#include "transport/link.hpp"'},
     "without I/O and reaches transport/link.hpp"),
    ("through a header", {"packages/quota/quota.cpp": '#include "leases/client.hpp"'},
     "without I/O and reaches transport/link.hpp"),
]


def run(files):
    with tempfile.TemporaryDirectory() as root:
        for name, text in files.items():
            path = pathlib.Path(root) / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        return subprocess.run([sys.executable, CHECK, root], capture_output=True, text=True, check=False)


failed = 0
result = run(GOOD)
if result.returncode != 0:
    print(f"good tree: refused: {result.stdout}{result.stderr}")
    failed += 1
for case, files, expected in BAD:
    result = run({**GOOD, **files})
    if result.returncode != 1 or expected not in result.stdout:
        print(f"{case}: exit {result.returncode}, wants 1 and '{expected}', found: {result.stdout}{result.stderr}")
        failed += 1
print(f"layering_test: {len(BAD) + 1 - failed} of {len(BAD) + 1} passed")
sys.exit(1 if failed else 0)
