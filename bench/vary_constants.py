#!/usr/bin/env python3
"""Halves and doubles each constant of a module source file and runs scenarios with each variant in virtual time.

    bench/vary_constants.py SOURCE RESULT.md [--jobs N] [--seeds N] SCENARIO...

For each constant, reports the largest fall and the largest rise of the goodput share (column 'kept'), with scenario and
load, and the mean change. Goodput is averaged over the seeds, at 0.8, 1.2 and 2 times capacity. Run it from the repository
root. Needs a C++20 compiler, libtomlplusplus-dev and libcli11-dev. Writes only RESULT.md.
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
# Matches `kName = 1.5`, also as one of several declarators in a constexpr declaration that begins a line.
CONSTANT = re.compile(r"\b(k[A-Z]\w*) =\s*([0-9][0-9.e-]*)(?=[,;\s])")


def constants(text):
    for line_start in re.finditer(r"^(?:  static )?constexpr (?:double|int|std::size_t) [^;]*;", text, re.M):
        for match in CONSTANT.finditer(line_start.group()):
            if float(match.group(2)) != 0:
                yield match.group(1), match.group(2), line_start.start() + match.start(2)


def play(program, scenario, seeds):
    goodput = {}
    with open(f"bench/scenarios/{scenario}.toml") as file:
        loads = LOADS if "\nx = " in file.read() else ["1"]
    for seed in range(1, seeds + 1):
        out = subprocess.run([program, f"bench/scenarios/{scenario}.toml", "--seed", str(seed), "--times", *loads],
                             capture_output=True, text=True).stdout
        for row in out.splitlines()[1:]:
            columns = row.split()
            goodput.setdefault((scenario, columns[2]), []).append(float(columns[4]))
            if columns[-1] != "0":
                goodput.setdefault(("BROKEN", scenario), []).append(-1)
    return {cell: sum(v) / len(v) for cell, v in goodput.items()}


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
    goodput = {}
    for scenario in scenarios:
        goodput.update(play(program, scenario, seeds))
    shutil.rmtree(root)
    return goodput


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
            baseline_run = submit("baseline", text)
            variants = []
            for name, value, at in constants(text):
                for factor in (0.5, 2):
                    changed = text[:at] + repr(float(value) * factor) + text[at + len(value):]
                    variants.append((name, value, factor, submit(f"{name}_{factor}", changed)))
            baseline = baseline_run.result()
            with open(options.result, "w") as out:
                command = f"bench/vary_constants.py {options.source} RESULT.md --seeds {options.seeds} " + " ".join(options.scenarios)
                commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
                out.write(f"# Each constant of `{options.source}` halved and doubled\n\nCommand: `{command}`\nCommit: {commit}. "
                          "Virtual time: the same on any machine.\n'falls': the largest fall of the goodput share, and where; 'mean': over all cells. "
                          "A different seed alone moves some cells by 0.02.\n\n| constant | x | falls | where | rises | where | mean |\n"
                          "| --- | --- | --- | --- | --- | --- | --- |\n")
                for name, value, factor, future in variants:
                    try:
                        goodput = future.result()
                    except subprocess.CalledProcessError:
                        out.write(f"| {name} = {value} | {factor} | does not build | | | | |\n")
                        continue
                    change = {cell: goodput[cell] - baseline[cell] for cell in baseline if cell in goodput}
                    worst, best = min(change, key=change.get), max(change, key=change.get)
                    broken = " RULES BROKEN" if any(cell[0] == "BROKEN" for cell in goodput) else ""
                    out.write(f"| {name} = {value} | {factor} | {min(0, change[worst]):+.3f}{broken} | {worst[0]} at {worst[1]} | "
                              f"{max(0, change[best]):+.3f} | {best[0]} at {best[1]} | {sum(change.values()) / len(change):+.4f} |\n")


if __name__ == "__main__":
    main()
