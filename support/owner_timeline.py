"""Prints who may have held a key range when, from the logs of all entries.

Usage:

    python3 support/owner_timeline.py LOG... [--service S] [--key K]

Lines are ordered by the entries' wall clocks, which may differ. A line that
begins with `!` contradicts an earlier one: a range was given to its next owner
while a member still counted a hold of the previous one, or a member granted a
range under an older token after that.
"""
import argparse
import datetime
import json
import pathlib
import sys

RANGE_EVENTS = ("range-granted", "grants-stopped", "grant-failed", "release",
                "range-settled", "grant-awaits-table")
MEMBER_EVENTS = ("started", "joined", "granting-began", "granting-ended",
                 "member-joined", "member-left", "member-lapsed",
                 "membership-lost", "mover-elected", "mover-lost",
                 "store-restored", "ranges-continued", "resigning")


def read_lines(paths):
    lines = []
    for path in paths:
        for text in pathlib.Path(path).read_text(encoding="utf-8").splitlines():
            # A process that is killed may leave its last line cut off.
            if not (text.startswith("{") and text.endswith("}")):
                continue
            line = json.loads(text)
            if line["event"] in RANGE_EVENTS + MEMBER_EVENTS:
                line["at"] = datetime.datetime.fromisoformat(
                    line["time"].replace("Z", "+00:00")).timestamp()
                lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


def keys_of(line):
    return int(line["first"]), int(line.get("last", line["first"]))


def overlap(one, other):
    return (one["service"] == other["service"] and
            max(keys_of(one)[0], keys_of(other)[0]) <=
            min(keys_of(one)[1], keys_of(other)[1]))


def find_contradictions(lines):
    """Returns {index of a line: what it contradicts}. `lines` are in order."""
    found = {}
    stopped, settled = [], []
    for index, line in enumerate(lines):
        if line["event"] == "grants-stopped":
            stopped.append(line)
        elif line["event"] == "range-settled":
            settled.append(line)
            if line["freed_by"] == "release":
                continue
            for other in stopped:
                left_s = (other["at"] + int(other["hold_left_ms"]) / 1000 -
                          line["at"])
                if (overlap(line, other) and left_s > 0 and
                        other["target"] == line["from"] != line["to"]):
                    found[index] = (f"{other['process']} counts a hold of "
                                    f"{line['from']} for {left_s:.2f} s more")
        elif line["event"] == "range-granted":
            for other in settled:
                if (overlap(line, other) and line["target"] != other["to"] and
                        int(line["fence"]) < int(other["fence"])):
                    found[index] = (f"{other['process']} gave the range to "
                                    f"{other['to']} under {other['fence']}")
    return found


def concerns(line, service, key):
    if line["event"] in MEMBER_EVENTS:
        return True
    if service and line["service"] != service:
        return False
    first, last = keys_of(line)
    return key is None or first <= key <= last


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--service")
    parser.add_argument("--key", type=int)
    options = parser.parse_args()
    lines = [line for line in read_lines(options.logs)
             if concerns(line, options.service, options.key)]
    if not lines:
        sys.exit("no line of the logs concerns the ownership of these keys")
    contradictions = find_contradictions(lines)
    for index, line in enumerate(lines):
        fields = " ".join(f"{name}={value}" for name, value in line.items()
                          if name not in ("time", "level", "process", "event",
                                          "at"))
        print(f"{'!' if index in contradictions else ' '} {line['time']} "
              f"{line['process']:<12} {line['event']:<18} {fields}")
        if index in contradictions:
            print(f"!   {contradictions[index]}")
    print(f"{len(lines)} lines, {len(contradictions)} contradictions")
    return 1 if contradictions else 0


if __name__ == "__main__":
    sys.exit(main())
