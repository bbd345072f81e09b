"""Compares callers' records with what the backend servers ran."""

import collections

import attrs


@attrs.define
class Violations:
    """Counts of violated guarantees by kind, with an example of each."""

    counts: collections.Counter = attrs.Factory(collections.Counter)
    examples: dict = attrs.Factory(dict)

    def add(self, kind, example):
        """Count one violation; keep the first of a kind as its example."""
        self.counts[kind] += 1
        self.examples.setdefault(kind, example)


def collect_runs(fleet):
    """Return how often each request id and each key ran, summed over all servers."""
    by_request = collections.Counter()
    by_key = collections.Counter()
    for server in fleet.servers:
        for request_id, key, *_ in fleet.get_executions(server["name"])["runs"]:
            by_request[request_id] += 1
            if key:
                by_key[key] += 1
    return by_request, by_key


def check_records(records, by_request, by_key):
    """
    Return the violations of the guarantees to callers.

    :param records: callers' records as ``bench.load`` writes them.
    :param by_request: number of runs by request id.
    :param by_key: number of runs by key.
    """
    violations = Violations()
    for key, count in by_key.items():
        if count > 1:
            violations.add("second_run", (key, count))
    for record in records:
        if record["check"] in ("cut", "foreign"):
            violations.add(f"{record['check']}_answer", record)
        if record["outcome"] == "none":
            violations.add("no_outcome", record)
        if record["outcome"] != "not-run":
            continue
        runs = by_key[record["key"]] if record["key"] else by_request[record["request"]]
        if runs:
            violations.add("false_not_run", record)
    return violations


def count_outcomes(records):
    """Return the number of records by outcome and reason."""
    return collections.Counter(
        f"{record['outcome']}/{record['reason']}" for record in records
    )
