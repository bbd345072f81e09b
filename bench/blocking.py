"""Measures short work on `archives`, alone and beside long work.

The long work keeps all slots of the long group occupied.

Compares our fleet with the naive proxy.

`python -m bench.blocking [--deployment latvia] [--vms 12] [--seed 1]`
"""

from bench.compare import run_fleets
from bench.experiment import Load, print_table
from bench.under_load import (
    count_false_ejections,
    get_percentiles,
    is_answered,
    make_parser,
    select_window,
)

SERVICE = "archives"
SLOTS = 6
LONG_SERVERS = 3  # 25% of the 12 servers, the ``long_share`` of the service
WARM_UP_S = 4
MEASURE_S = 15
SHORT_WORK = {"work_ms": 50.0, "body_bytes": 2_000}
LONG_WORK = {"work_ms": 1000.0, "body_bytes": 50_000}
#: Requests/s. Short work occupies a quarter of the slots of the other nine servers.
SHORT_RATE = 0.25 * 9 * SLOTS / 0.05
#: Requests/s, 50% more than the long group can serve: its slots are always occupied.
LONG_RATE = 1.5 * LONG_SERVERS * SLOTS / 1.0


def run(options, with_long):
    """Return the results of the fleets for one load."""
    rate = SHORT_RATE + (LONG_RATE if with_long else 0)
    load = Load(
        ((WARM_UP_S + MEASURE_S, rate),),
        seed=options.seed,
        generators=3,
        callers=240,
        shares={"short": SHORT_RATE / rate, "long": 1 - SHORT_RATE / rate},
    )
    return run_fleets(
        options.deployment,
        options.vms,
        load,
        lambda fleet: [],
        fleets=options.fleets.split(","),
        service=SERVICE,
        seed=options.seed,
        short=SHORT_WORK,
        long=LONG_WORK,
    )


def measure(records, lines):
    """Return the table columns that follow the fleet and the load."""
    start = min(record["scheduled_at"] for record in records) + WARM_UP_S
    window = select_window(records, start, MEASURE_S)
    short = [record for record in window if record["work"] == "short"]
    long = [record for record in window if record["work"] == "long"]
    answered = [record for record in short if is_answered(record, timeout_s=2.0)]
    failed = round(100 * (1 - len(answered) / len(short)), 2)
    long_ok = sum(1 for record in long if is_answered(record, timeout_s=20.0))
    percentiles = get_percentiles(answered, (50, 99))
    return [len(short), failed, *percentiles, long_ok, count_false_ejections(lines)]


def main():
    """Print the results for one deployment."""
    parser = make_parser(__doc__)
    parser.add_argument("--fleets", default="ours,naive")
    options = parser.parse_args()
    rows = []
    for with_long in (False, True):
        for name, (records, _, _, lines) in run(options, with_long).items():
            load = "short and long" if with_long else "short"
            rows.append([name, load, *measure(records, lines)])
    headings = ["fleet", "load", "short", "not answered %", "p50 ms", "p99 ms"]
    print_table(rows, [*headings, "long answered", "false ejections"])


if __name__ == "__main__":
    main()
