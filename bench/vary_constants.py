#!/usr/bin/env python3
"""Varies each constant of a source file of the module to half and to twice, and plays scenarios with each in virtual time.

    bench/vary_constants.py SOURCE RESULT.md [--jobs N] [--seeds N] SCENARIO...

For each constant: by how much the share that is served in time ('kept') falls at the most, in which scenario and at which
load, and by how much it changes in the mean; means over the seeds, at 0.8, 1.2 and 2 times capacity. Run it from the root.
Needs a C++20 compiler, libtomlplusplus-dev, libcli11-dev. What it makes is left in no place but RESULT.md.
"""
import argparse
import concurrent.futures
import glob
import os
import re
import shutil
import subprocess
import tempfile

LOADS = ["0.8", "1.2", "2"]
FLAGS = ["-std=c++20", "-O2", "-Wno-restrict", "-Ibench/model", "-Ibench/virtual", "-Ibench/cli"]
# `constexpr double kName = 1.5`, also as one of several in a declaration that stands at the head of a line.
CONSTANT = re.compile(r"\b(k[A-Z]\w*) =\s*([0-9][0-9.e-]*)(?=[,;\s])")


def constants(text):
    for line_start in re.finditer(r"^(?:  static )?constexpr (?:double|int|std::size_t) [^;]*;", text, re.M):
        for found in CONSTANT.finditer(line_start.group()):
            if float(found.group(2)) != 0:
                yield found.group(1), found.group(2), line_start.start() + found.start(2)


def play(program, scenario, seeds):
    kept = {}
    with open(f"bench/scenarios/{scenario}.toml") as file:
        loads = LOADS if "\nx = " in file.read() else ["1"]
    for seed in range(1, seeds + 1):
        out = subprocess.run([program, f"bench/scenarios/{scenario}.toml", "--seed", str(seed), "--times", *loads],
                             capture_output=True, text=True).stdout
        for row in out.splitlines()[1:]:
            words = row.split()
            kept.setdefault((scenario, words[2]), []).append(float(words[4]))
            if words[-1] != "0":
                kept.setdefault(("BROKEN", scenario), []).append(-1)
    return {cell: sum(v) / len(v) for cell, v in kept.items()}


def build_and_play(scratch, objects, tag, source, text, scenarios, seeds):
    root = os.path.join(scratch, tag)
    os.makedirs(root)
    for folder in ("policy", "include"):
        shutil.copytree(folder, os.path.join(root, folder))
    with open(os.path.join(root, source), "w") as file:
        file.write(text)
    program = os.path.join(root, "play")
    subprocess.run(["g++", *FLAGS, f"-I{root}/include", f"-I{root}/policy", *sorted(glob.glob(f"{root}/policy/*.cpp")), *objects,
                    "-o", program], check=True)
    kept = {}
    for scenario in scenarios:
        kept.update(play(program, scenario, seeds))
    shutil.rmtree(root)
    return kept


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("source")
    parser.add_argument("result")
    parser.add_argument("scenarios", nargs="+")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    with open(options.source) as file:
        text = file.read()
    with tempfile.TemporaryDirectory() as scratch:
        objects = []
        for source in sorted(glob.glob("bench/model/*.cpp") + glob.glob("bench/virtual/*.cpp")):
            objects.append(os.path.join(scratch, os.path.basename(os.path.dirname(source)) + os.path.basename(source) + ".o"))
            subprocess.run(["g++", *FLAGS, "-Iinclude", "-Isrc", "-c", source, "-o", objects[-1]], check=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            def submit(tag, changed):
                return pool.submit(build_and_play, scratch, objects, tag, options.source, changed, options.scenarios, options.seeds)
            today = submit("today", text)
            tried = []
            for name, value, at in constants(text):
                for factor in (0.5, 2):
                    changed = text[:at] + repr(float(value) * factor) + text[at + len(value):]
                    tried.append((name, value, factor, submit(f"{name}_{factor}", changed)))
            base = today.result()
            with open(options.result, "w") as out:
                command = f"bench/vary_constants.py {options.source} RESULT.md --seeds {options.seeds} " + " ".join(options.scenarios)
                commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
                out.write(f"# Each constant of `{options.source}` to half and to twice\n\nCommand: `{command}`\nCommit: {commit}. "
                          "Virtual time: the same on any machine.\n'falls': the largest fall of what is kept, and where; 'mean': over all cells. "
                          "A change of a seed alone moves some cells by 0.02.\n\n| constant | x | falls | where | rises | where | mean |\n"
                          "| --- | --- | --- | --- | --- | --- | --- |\n")
                for name, value, factor, future in tried:
                    try:
                        kept = future.result()
                    except subprocess.CalledProcessError:
                        out.write(f"| {name} = {value} | {factor} | does not build | | | | |\n")
                        continue
                    change = {cell: kept[cell] - base[cell] for cell in base if cell in kept}
                    low, high = min(change, key=change.get), max(change, key=change.get)
                    broken = " RULES BROKEN" if any(cell[0] == "BROKEN" for cell in kept) else ""
                    out.write(f"| {name} = {value} | {factor} | {min(0, change[low]):+.3f}{broken} | {low[0]} at {low[1]} | "
                              f"{max(0, change[high]):+.3f} | {high[0]} at {high[1]} | {sum(change.values()) / len(change):+.4f} |\n")


if __name__ == "__main__":
    main()
