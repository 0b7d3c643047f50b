#!/usr/bin/env python3
"""Prints circular dependencies between the files of a folder of the library.

A file depends on another one if its object uses a function or variable that the
other one's object defines, as `nm` shows. Objects are read from the build
folder. Usage: file_cycles.py [--build DIR] FOLDER...; exit code 1: there are
cycles.
"""
import argparse
import pathlib
import subprocess
import sys


def read_symbols(path):
    """Returns the symbols that the object defines for others, and those it uses."""
    defined, used = set(), set()
    lines = subprocess.run(["nm", "--extern-only", "--format=posix", path],
                           check=True, capture_output=True, text=True).stdout
    for line in lines.splitlines():
        name, kind = line.split()[:2]
        (used if kind in "Uuw" else defined).add(name)
    return defined, used


def read_dependencies(build, folder):
    """Returns {file: {file it depends on: symbols}} of the sources in folder."""
    objects = {}
    for source in sorted(pathlib.Path(folder).glob("*.c")):
        found = list(pathlib.Path(build).glob("CMakeFiles/*.dir/%s.o" % source))
        if not found:
            sys.exit("file_cycles: %s is not built in %s" % (source, build))
        objects[source.stem] = read_symbols(found[0])
    return {name: {other: used & defined
                   for other, (defined, _) in objects.items()
                   if other != name and used & defined}
            for name, (_, used) in objects.items()}


def find_cycles(dependencies):
    """Returns the groups of files that depend on each other (Tarjan)."""
    index, low, stack, groups = {}, {}, [], []

    def visit(name):
        index[name] = low[name] = len(index)
        stack.append(name)
        for other in dependencies[name]:
            if other not in index:
                visit(other)
            if other in stack:
                low[name] = min(low[name], low[other])
        if low[name] == index[name]:
            at = stack.index(name)
            if len(stack) - at > 1:
                groups.append(sorted(stack[at:]))
            del stack[at:]

    for name in dependencies:
        if name not in index:
            visit(name)
    return groups


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build")
    parser.add_argument("folders", nargs="+")
    options = parser.parse_args()
    has_cycle = False
    for folder in options.folders:
        dependencies = read_dependencies(options.build, folder)
        for group in find_cycles(dependencies):
            has_cycle = True
            print("%s: %s" % (folder, " ".join(group)))
            for name in group:
                for other in sorted(set(dependencies[name]) & set(group)):
                    print("  %s uses of %s: %s" % (
                        name, other, " ".join(sorted(dependencies[name][other]))))
    if not has_cycle:
        print("no cycles between files in " + " ".join(options.folders))
    return 1 if has_cycle else 0


if __name__ == "__main__":
    sys.exit(main())
