"""Checks and measures a test run from the records of callers and targets alone.

A journal has one entry per execution of a request by a target, a report one per
request of a caller.
"""
import collections

# A key counts as unavailable during each of its requests that took longer than
# this or was not answered.
SLOW_SECONDS = 0.2


def request_of_execution(execution):
    """Service and token of an execution, which together identify its request."""
    return execution["service"], execution["path"].rsplit("/", 1)[-1]


def check_requests(report, journal):
    """POST requests executed twice, and requests with a false outcome."""
    execution_counts = collections.Counter(
        request_of_execution(execution) for execution in journal)
    violations = []
    for record in report:
        count = execution_counts[record["service"], record["token"]]
        outcome = record["outcome"]
        if record["method"] == "POST" and count > 1:
            violations.append(f"{record['token']} was executed {count} times")
        if outcome == "not-run" and record["method"] == "POST" and count:
            violations.append(f"{record['token']} was executed but reported "
                              "as not-run")
        if outcome == "answered" and not record.get("own"):
            violations.append(f"{record['token']} received the response to "
                              "another request")
        if outcome == "answered" and not count:
            violations.append(f"{record['token']} was answered but never "
                              "executed")
    return violations


def check_ownership(journal):
    """Violations of exclusive ownership of a partition: an execution under a
    term lower than that of an earlier execution, or one term at two targets."""
    violations = []
    highest_terms = {}
    first_targets = {}
    for execution in sorted(journal, key=lambda execution: execution["at_us"]):
        if execution["term"] == [0, 0]:
            continue
        key = (execution["service"], execution["partition"])
        term = tuple(execution["term"])
        if highest_terms.get(key, (0, 0)) > term:
            violations.append(
                f"{key} was executed at {execution['target']} under term "
                f"{term} after term {highest_terms[key]}")
        highest_terms[key] = max(highest_terms.get(key, (0, 0)), term)
        first_target = first_targets.setdefault((key, term),
                                                execution["target"])
        if first_target != execution["target"]:
            violations.append(f"{key} has term {term} at both {first_target} "
                              f"and {execution['target']}")
    return violations


def imbalance(journal, service):
    """Executions at the busiest target, divided by the mean of the targets that
    executed any."""
    counts = collections.Counter(
        execution["target"] for execution in journal
        if execution["service"] == service)
    if not counts:
        return 0.0
    return max(counts.values()) / (sum(counts.values()) / len(counts))


def churn(before, after):
    """Number of partitions whose owner differs."""
    return sum(1 for p, (owner, _) in after.items()
               if p in before and before[p][0] != owner)


def unavailable_seconds(report):
    """Largest total time, over all keys, during which a request of the key was
    slow or not answered."""
    intervals_by_key = collections.defaultdict(list)
    for record in report:
        latency = (record["end_us"] - record["begin_us"]) / 1e6
        if record["outcome"] != "answered" or latency > SLOW_SECONDS:
            intervals_by_key[record["key"]].append(
                (record["begin_us"], record["end_us"]))
    longest = 0.0
    for intervals in intervals_by_key.values():
        total, end = 0, 0
        for begin, stop in sorted(intervals):
            total += max(0, stop - max(begin, end))
            end = max(end, stop)
        longest = max(longest, total / 1e6)
    return longest
