"""Judges a run by what callers and targets recorded, and nothing else."""
import collections

# A request that took longer than this, or got no answer, counts its partition
# as unavailable while it lasted.
SLOW_SECONDS = 0.2


def request_of_run(run):
    """Service and token of a run, which together name one request."""
    return run["service"], run["path"].rsplit("/", 1)[-1]


def check_requests(report, journal):
    """Violations of what callers were told."""
    runs = collections.Counter(request_of_run(run) for run in journal)
    violations = []
    for line in report:
        count = runs[line["service"], line["token"]]
        outcome = line["outcome"]
        if line["method"] == "POST" and count > 1:
            violations.append(f"{line['token']} ran {count} times")
        if outcome == "not-run" and line["method"] == "POST" and count:
            violations.append(f"{line['token']} ran but was called not run")
        if outcome == "answered" and not line.get("own"):
            violations.append(f"{line['token']} got another's answer")
        if outcome == "answered" and not count:
            violations.append(f"{line['token']} was answered without a run")
    return violations


def check_ownership(journal):
    """Violations of sole ownership: a run under a term lower than one that ran
    before it, or one term at two targets."""
    violations = []
    newest = {}
    holders = {}
    for run in sorted(journal, key=lambda run: run["at_us"]):
        if run["term"] == [0, 0]:
            continue
        key = (run["service"], run["partition"])
        term = tuple(run["term"])
        if newest.get(key, (0, 0)) > term:
            violations.append(
                f"{key} ran at {run['target']} under {term} after "
                f"{newest[key]}")
        newest[key] = max(newest.get(key, (0, 0)), term)
        first = holders.setdefault((key, term), run["target"])
        if first != run["target"]:
            violations.append(f"{key} term {term} at {first} and "
                              f"{run['target']}")
    return violations


def imbalance(journal, service):
    """Requests of the busiest target over the mean of those that ran any."""
    counts = collections.Counter(
        run["target"] for run in journal if run["service"] == service)
    if not counts:
        return 0.0
    return max(counts.values()) / (sum(counts.values()) / len(counts))


def churn(before, after):
    """Partitions whose owner differs."""
    return sum(1 for p, (owner, _) in after.items()
               if p in before and before[p][0] != owner)


def unavailable_seconds(report):
    """Longest time, over all keys, in which requests were slow or failed."""
    spans = collections.defaultdict(list)
    for line in report:
        latency = (line["end_us"] - line["begin_us"]) / 1e6
        if line["outcome"] != "answered" or latency > SLOW_SECONDS:
            spans[line["key"]].append((line["begin_us"], line["end_us"]))
    longest = 0.0
    for intervals in spans.values():
        total, end = 0, 0
        for begin, stop in sorted(intervals):
            total += max(0, stop - max(begin, end))
            end = max(end, stop)
        longest = max(longest, total / 1e6)
    return longest
