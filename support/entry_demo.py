"""Runs entries against the emulator under faults and prints its report."""
import json
import sys

from entry_fleet import (BIN, EntryFleet, freeze_entry, restart_entry,
                         small_scenario)

ZONES = {"arima": "northcaroni", "chaguanas": "northcaroni",
         "sando": "southcaroni", "couva": "southcaroni"}


def main():
    fleet = EntryFleet(ZONES, entries=1)
    scenario = small_scenario(fleet, length_s=20, faults=[
        {"at_s": 3, "kind": "target-crash", "service": "accounts", "count": 2,
         "for_s": 4},
        {"at_s": 8, "kind": "store-silent", "for_s": 4},
        {"at_s": 13, "kind": "target-leave", "service": "accounts",
         "count": 1, "for_s": 4},
        {"at_s": 14, "kind": "store-compact"}])
    print(f"Entries in {', '.join(ZONES)}; {BIN.name} from build/. "
          "Two targets crash, the store is silent for 4 s, a target leaves,\n"
          "one entry is killed and another is frozen for 3 s.", flush=True)
    report, status = fleet.run(scenario, actions=[
        restart_entry(9, 1), *freeze_entry(14, 2, for_s=3)])
    print(json.dumps(report, indent=1))
    print(f"plot: {fleet.plot_path}")
    sys.exit(status)


if __name__ == "__main__":
    main()
