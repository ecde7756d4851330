#!/usr/bin/env python3
"""Takes away, one after the other, what carries each rule (docs/rules.md), and expects the test that the page names to fail.
Works on a copy of the committed tree, in a folder of its own, which is built once and then step by step. By hand: it takes
about an hour.

    tests/rules/rule_mutations.py --work DIR [--jobs N] [--only NAME]... [--all-tests]

Ends with 1 if a test passes without what it guards. --all-tests: of each mutation lists all tests of its executables that fail.
"""

import argparse
import os
import pathlib
import signal
import subprocess
import sys

from mutations import MUTATIONS, Mutation, Script, UnitTest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A test that runs longer without what it guards has failed.
TIME_LIMIT_S = 120
TIME_LIMIT = "(time limit)"


class Workspace:
    """A copy of the committed tree with its build."""

    def __init__(self, folder: pathlib.Path, jobs: int):
        self.tree, self._jobs = folder / "tree", jobs
        self.build = self.tree / "target" / "dev"

    def prepare(self) -> None:
        self.tree.mkdir(parents=True, exist_ok=True)
        archive = subprocess.run(["git", "-C", ROOT, "archive", "HEAD"], check=True, capture_output=True).stdout
        # With the time of now: in a folder that served before, a file may be older than what a mutation of it left built.
        subprocess.run(["tar", "-x", "-m", "-C", self.tree], input=archive, check=True)
        subprocess.run(["cmake", "-S", self.tree, "-B", self.build, "-G", "Ninja", "-DCMAKE_BUILD_TYPE=Release"],
                       check=True, stdout=subprocess.DEVNULL)
        if not self.make([]):
            raise RuntimeError("the tree does not build")

    def make(self, targets: list[str]) -> bool:
        command = ["cmake", "--build", self.build, "-j", str(self._jobs)]
        if targets:
            command += ["--target", *targets]
        return subprocess.run(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL).returncode == 0

    def failed_tests(self, executable: str) -> list[str]:
        """The names SUITE::TEST that fail; a crash or the time limit of the whole executable is one of its own."""
        output = self._run([str(self.build / f"{executable}_test"), "-j4"])
        if output is None:
            return [TIME_LIMIT]
        lines = output[1].splitlines()
        return [line.removeprefix("[FAIL] ").split(": ")[0] for line in lines if line.startswith("[FAIL]")]

    def script_fails(self, script: Script) -> bool:
        output = self._run([word.replace("BUILD", str(self.build)) for word in script.command])
        return output is None or output[0] != 0

    def _run(self, command: list[str]) -> tuple[int, str] | None:
        """Exit code and output; None after the time limit. What it has started ends with it."""
        with subprocess.Popen(command, cwd=self.tree, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                              start_new_session=True) as process:
            try:
                output, _ = process.communicate(timeout=TIME_LIMIT_S)
                return process.returncode, output
            except subprocess.TimeoutExpired:
                os.killpg(process.pid, signal.SIGKILL)
                return None


def apply(workspace: Workspace, mutation: Mutation) -> str:
    """The file's text from before."""
    path = workspace.tree / mutation.file
    original = path.read_text()
    if original.count(mutation.old) != 1:
        raise RuntimeError(f"{mutation.name}: {mutation.file} has {original.count(mutation.old)} places that fit")
    path.write_text(original.replace(mutation.old, mutation.new))
    return original


def targets_of(mutation: Mutation) -> list[str]:
    units = {f"{guard.executable}_test" for guard in mutation.guards if isinstance(guard, UnitTest)}
    has_scripts = any(isinstance(guard, Script) for guard in mutation.guards)
    return sorted(units) if units and not has_scripts else []


def unguarded(workspace: Workspace, mutation: Mutation, lists_all: bool) -> list[str]:
    """The guards that pass without what they guard."""
    passing = []
    failed = {executable: workspace.failed_tests(executable)
              for executable in {guard.executable for guard in mutation.guards if isinstance(guard, UnitTest)}}
    for guard in mutation.guards:
        if isinstance(guard, Script):
            has_failed = workspace.script_fails(guard)
        else:
            names = failed[guard.executable]
            has_failed = guard.name in names or TIME_LIMIT in names
        if not has_failed:
            passing.append(str(guard))
    if lists_all:
        for executable, names in failed.items():
            print(f"    {executable}: {', '.join(names) or 'none'}")
    return passing


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--work", type=pathlib.Path, required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", action="append", default=[], metavar="NAME")
    parser.add_argument("--all-tests", action="store_true")
    options = parser.parse_args()
    workspace = Workspace(options.work, options.jobs)
    workspace.prepare()
    not_guarded = 0
    for mutation in MUTATIONS:
        if options.only and mutation.name not in options.only:
            continue
        original = apply(workspace, mutation)
        try:
            if workspace.make(targets_of(mutation)):
                passing = unguarded(workspace, mutation, options.all_tests)
            else:
                passing = ["it does not build"]
        finally:
            (workspace.tree / mutation.file).write_text(original)
        not_guarded += bool(passing)
        print(f"{mutation.name}: {'guarded' if not passing else 'NOT GUARDED by ' + ', '.join(passing)}", flush=True)
    print(f"{not_guarded} not guarded")
    return 1 if not_guarded else 0


if __name__ == "__main__":
    sys.exit(main())
