#!/usr/bin/env python3
"""Checks the layers of the packages. Prints each violation and exits 1 if there is one.

1. A package includes only headers of itself and of packages that its CMakeLists.txt names in DEPENDS, directly or
   through others; what it names exists, and DEPENDS has no cycles.
2. A package without I/O reaches no header of transport, storage, process, libevent or SQLite: neither by an include of
   its own nor through the headers that it includes.

usage: tests/layering.py [ROOT]
"""
import pathlib
import re
import sys

WITHOUT_IO = (
    "consensus configuration idempotency quorum_contact request load_balancing drain quota rollout usage "
    "server_registry directory planning operator_commands model_checking linearizability load_generation"
).split()
IO_PACKAGES = {"transport", "storage", "process"}
IO_LIBRARIES = re.compile(r"(event2/|event\.h$|evhttp\.h$|sqlite3)")
# (package, header it reaches): reason. Only for violations that are meant to stay.
EXCEPTIONS = {}

INCLUDE = re.compile(r'^\s*#\s*include\s*([<"])([^">]+)[">]', re.MULTILINE)


def includes_of(path):
    """The includes of a file as (line number, opening character, header)."""
    text = path.read_text()
    return [(text.count("\n", 0, m.start(1)) + 1, m.group(1), m.group(2)) for m in INCLUDE.finditer(text)]


def declared_dependencies(package):
    text = re.sub(r"#.*", "", (package / "CMakeLists.txt").read_text())
    call = re.search(r"dockbend_package\(\s*(\w+)(.*?)\)", text, re.DOTALL)
    if call is None or call.group(1) != package.name:
        raise SystemExit(f"{package}/CMakeLists.txt: no dockbend_package({package.name} ...)")
    depends = re.search(r"\bDEPENDS\b(.*?)(?:\bEXTERNAL\b|$)", call.group(2), re.DOTALL)
    return set(depends.group(1).split()) if depends else set()


def transitive(declared):
    """For each package, all that it may include; a package on a cycle has itself among them."""
    reached = {name: set(depends) for name, depends in declared.items()}
    changed = True
    while changed:
        changed = False
        for name in reached:
            more = set().union(*(reached.get(dependency, set()) for dependency in reached[name])) - reached[name]
            changed = changed or bool(more)
            reached[name] |= more
    return reached


class Tree:
    def __init__(self, root):
        self.root = pathlib.Path(root)
        self.packages = {
            directory.name: directory
            for directory in sorted((self.root / "packages").iterdir())
            if (directory / "CMakeLists.txt").exists()
        }
        self.declared = {name: declared_dependencies(path) for name, path in self.packages.items()}
        self.allowed = transitive(self.declared)
        self.io_headers = {}  # by file: the I/O headers that it reaches

    def files(self, name):
        return sorted(p for p in self.packages[name].rglob("*") if p.suffix in (".cpp", ".hpp"))

    def resolve(self, file, header):
        """The package and file that a quoted include names; the package is None if it is no package's header."""
        package = header.split("/")[0]
        if "/" in header and package in self.packages:
            return package, self.packages[package] / "include" / header
        return None, file.parent / header

    def reached_io_headers(self, file):
        if file not in self.io_headers:
            self.io_headers[file] = set()  # ends include cycles
            for _, bracket, header in includes_of(file) if file.exists() else []:
                package, target = self.resolve(file, header)
                if IO_LIBRARIES.search(header) or package in IO_PACKAGES:
                    self.io_headers[file].add(header)
                elif bracket == '"':
                    self.io_headers[file] |= self.reached_io_headers(target)
        return self.io_headers[file]

    def violations(self):
        for name in self.packages:
            for dependency in sorted(self.declared[name] - self.packages.keys()):
                yield f"packages/{name}/CMakeLists.txt: DEPENDS names {dependency}, which is no package"
            if name in self.allowed[name]:
                yield f"packages/{name}/CMakeLists.txt: DEPENDS leads back to {name}"
            for file in self.files(name):
                yield from self.file_violations(name, file)

    def file_violations(self, name, file):
        shown = file.relative_to(self.root)
        for line, bracket, header in includes_of(file):
            if bracket != '"':
                continue
            package, target = self.resolve(file, header)
            if not target.exists():
                yield f"{shown}:{line}: {header} is no header of a package nor beside this file"
            elif package not in (None, name) and package not in self.allowed[name]:
                yield f"{shown}:{line}: includes {header}, but DEPENDS of {name} does not lead to {package}"
        if name in WITHOUT_IO:
            for header in sorted(self.reached_io_headers(file)):
                if (name, header) not in EXCEPTIONS:
                    yield f"{shown}: {name} is a package without I/O and reaches {header}"


def main(arguments):
    root = arguments[0] if arguments else pathlib.Path(__file__).resolve().parent.parent
    violations = list(Tree(root).violations())
    for violation in violations:
        print(violation)
    if not violations:
        print("layering: in order")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
