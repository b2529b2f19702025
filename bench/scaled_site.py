"""Make a deployment of another size from one that the users' bench takes.

    python -m bench.scaled_site SITE.toml FACTOR [--out DIR]

Machines (capacity, and those up at the start), arrivals and the jobs at the start are
multiplied; everything else stays, the limits of state service, cloud and controllers
included: that is what is to be seen. The copy and what it refers to go under `target/`,
never into the repository.
"""

from __future__ import annotations

import argparse
import re
import shutil
import sys
import tomllib
from pathlib import Path

# Tables and the keys in them that follow the size.
SCALED = {"capacity": ("count", "spot"), "jobs": ("initial",), "start": ("count", "machines"),
          "initial": ("count",)}


def scale(text: str, factor: float) -> str:
    """The site file's text with its sizes multiplied; lines that are not sizes stay."""
    table, found = "", []
    for line in text.splitlines():
        header = re.match(r"\[+([\w.]+)\]+", line)
        if header:
            table = header[1]
        entry = re.match(r"(\w+) = ([\d.]+)$", line)
        if entry and entry[1] in SCALED.get(table, ()):
            line = f"{entry[1]} = {round(float(entry[2]) * factor)}"
        if table == "jobs" and line.startswith("arrivals"):
            line = re.sub(r"rate = ([\d.]+)", lambda m: f"rate = {float(m[1]) * factor:.6g}", line)
        if line.startswith("name = ") and not table:
            line = re.sub(r'"(.*)"', lambda m: f'"{m[1]}-x{factor:g}"', line)
        found.append(line)
    return "\n".join(found) + "\n"


def main() -> int:
    args = argparse.ArgumentParser(description="A deployment of another size, under target/.")
    args.add_argument("site", type=Path)
    args.add_argument("factor", type=float)
    args.add_argument("--out", type=Path, default=Path("target/sites"))
    chosen = args.parse_args()
    if not 0 < chosen.factor <= 100:
        args.error("FACTOR: a positive number, 100 at most")
    try:
        text = chosen.site.read_text(encoding="utf-8")
        site = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        print(f"{chosen.site}: {exc}", file=sys.stderr)
        return 2
    chosen.out.mkdir(parents=True, exist_ok=True)
    made = chosen.out / f"{chosen.site.stem}-x{chosen.factor:g}.toml"
    made.write_text(scale(text, chosen.factor), encoding="utf-8")
    tomllib.loads(made.read_text(encoding="utf-8"))
    for name in (site.get("wire"), f"{chosen.site.stem}.days"):
        if name and (chosen.site.parent / name).exists():
            target = Path(name).name if name == site.get("wire") else f"{made.stem}.days"
            shutil.copy(chosen.site.parent / name, chosen.out / target)
    print(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
