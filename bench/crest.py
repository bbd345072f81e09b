"""Measures service during a load spike of five times the base load.

Compares our fleet with the naive proxy.

`python -m bench.crest [--deployment latvia] [--vms 12] [--seed 1] [--times 1.4]`
"""

import collections

from bench.compare import run_fleets
from bench.experiment import Load, print_table
from bench.under_load import (
    BASE_S,
    RAMP_S,
    SHORT_SERVICES,
    SPIKE_FACTOR,
    SPIKE_S,
    count_false_ejections,
    get_percentiles,
    is_answered,
    make_parser,
    make_spike,
    parse_line,
    select_window,
)

SERVERS, SLOTS = 12, 6
BODY_BYTES = 2000
PERCENTILES = (50, 99, 100)


def measure(name, records, lines, options, timeout_s):
    """Return the table rows of one fleet."""
    # The generators start the schedule after 0.2 s, so the records give its start.
    start = min(record["scheduled_at"] for record in records) + BASE_S + RAMP_S
    spike = select_window(records, start, SPIKE_S)
    answered = [record for record in spike if is_answered(record, timeout_s)]
    refused = [record for record in spike if record["status"] == 503]
    slots = SERVERS * SLOTS * SPIKE_S / (options.work_ms / 1000)
    rows = [
        ("requests", len(spike)),
        ("answered in time, % of slots", round(100 * len(answered) / slots, 1)),
        ("refused", len(refused)),
        ("neither", len(spike) - len(answered) - len(refused)),
        ("refused after ms, p50 p99 p100", get_percentiles(refused, PERCENTILES)),
        ("answered after ms, p50 p99 p100", get_percentiles(answered, PERCENTILES)),
    ]
    base = select_window(records, start - BASE_S - RAMP_S + 1, BASE_S - 1)
    failed = sum(1 for record in base if not is_answered(record, timeout_s))
    rows.append(("not answered at base, %", round(100 * failed / len(base), 2)))
    if lines:
        rows += measure_log(lines, start)
    return [(name, *row) for row in rows]


def measure_log(lines, start):
    """Return rows from the decision logs: refusal latencies, attempts and outcomes."""
    events = [
        event
        for event in map(parse_line, lines)
        if start <= float(event["ts"]) < start + SPIKE_S
    ]
    reasons = collections.Counter()
    latencies = []
    for event in events:
        if event["event"] == "request":
            reasons[event["outcome"], event["reason"], event["attempts"]] += 1
            if event["status"] == "503":
                latencies.append(float(event["latency_ms"]))
    latencies.sort()
    last = len(latencies) - 1
    percentiles = [
        round(latencies[last * item // 100], 1) for item in PERCENTILES if latencies
    ]
    attempts = collections.Counter(
        event["status"] for event in events if event["event"] == "attempt"
    )
    return [
        ("refused in the VM after ms, p50 p99 p100", percentiles),
        ("attempts", dict(attempts)),
        ("outcomes", {"/".join(key): n for key, n in reasons.most_common(8)}),
        ("false ejections", count_false_ejections(lines)),
    ]


def main():
    """Print the results of the fleets for one deployment."""
    parser = make_parser(__doc__)
    parser.add_argument(
        "--times", type=float, default=1.4, help="spike as a multiple of the slots"
    )
    parser.add_argument("--work-ms", type=float, default=200.0)
    parser.add_argument("--server-queue", type=int, default=6)
    parser.add_argument("--fleets", default="ours,naive")
    options = parser.parse_args()
    peak = options.times * SERVERS * SLOTS / (options.work_ms / 1000)
    load = Load(
        make_spike(peak / SPIKE_FACTOR),
        seed=options.seed,
        generators=4,
        callers=240,
        shares={"short": 1.0},
    )
    results = run_fleets(
        options.deployment,
        options.vms,
        load,
        lambda fleet: [],
        fleets=options.fleets.split(","),
        service=SHORT_SERVICES[options.deployment],
        seed=options.seed,
        short={"work_ms": options.work_ms, "body_bytes": BODY_BYTES},
        server_queue=options.server_queue,
    )
    rows = []
    for name, (records, _, _, lines) in results.items():
        rows += measure(name, records, lines, options, timeout_s=1.0)
    print_table(rows, ["fleet", "figure", "value"])


if __name__ == "__main__":
    main()
