"""Writes the report page of an incident: one HTML file with PNG plots."""

import base64
import collections
import html
import io
import math

from .exceptions import LogError
from .incident_output import (
    format_issue,
    format_logs,
    format_time,
    format_trace,
    has_fault,
)
from .timeline import compute_percentile

#: The page lists this many issues and traces; text and JSON output list all.
MAX_ISSUES = 1_000
MAX_TRACES = 50
#: Services in the plot of ejections, those with the most; more would be illegible.
MAX_SERVICES = 8
#: Latest versions in the plot of configuration versions.
MAX_VERSIONS = 8
_STYLE = """
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; color: #222; }
pre { background: #f4f4f4; padding: 0.6em; overflow-x: auto; }
table { border-collapse: collapse; } td { padding: 0.2em 1em 0.2em 0; }
img { max-width: 100%; }
"""


def load_figure_class():
    """Return matplotlib's ``Figure``; raise ``LogError`` if it is not installed."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise LogError(
            "report pages need matplotlib; install lavendermast[report] or use "
            "--format text"
        ) from None
    return Figure


def render_plot(draw, title, label, length):
    """
    Return a plot as PNG.

    :param draw: function that draws on the given axes.
    :param length: seconds of the time axis, the same for all plots of a page.
    :return: bytes, or ``None`` if there was nothing to draw.
    """
    figure = load_figure_class()(figsize=(9, 3.4), dpi=100, layout="constrained")
    axes = figure.add_subplot()
    if not draw(axes):
        return None
    axes.set_title(title)
    axes.set_ylabel(label)
    axes.set_xlabel("seconds from the start")
    axes.set_xlim(0, max(length, 1))
    axes.yaxis.set_major_formatter("{x:g}")
    axes.yaxis.set_minor_formatter("")
    axes.grid(alpha=0.3)
    # A legend below the axes keeps the time axes of all plots equally wide.
    figure.legend(loc="outside lower center", fontsize="small", ncols=4)
    stream = io.BytesIO()
    figure.savefig(stream, format="png")
    return stream.getvalue()


def draw_outcomes(axes, series, start):
    """Draw the rate of each outcome over time."""
    steps = sorted(series.steps)
    times = [step * series.width - start for step in steps]
    labels = sorted({label for counts in series.steps.values() for label in counts})
    for label in labels:
        rates = [series.steps[step][label] / series.width for step in steps]
        axes.plot(times, rates, label=label, drawstyle="steps-post", marker=".")
    # Outcomes other than answered are rare; a linear axis would hide them.
    axes.set_yscale("symlog", linthresh=1)
    axes.set_ylim(bottom=0)
    return bool(steps)


def draw_latencies(axes, series, start):
    """Draw latency percentiles over time."""
    steps = sorted(series.steps)
    times = [step * series.width - start for step in steps]
    for share in (0.5, 0.99):
        values = [compute_percentile(series.steps[step], share) for step in steps]
        axes.plot(times, values, label=f"{share:.0%} of requests", marker=".")
    axes.set_yscale("log")
    axes.yaxis.get_major_locator().set_params(subs=(1, 2, 5))
    return bool(steps)


def compute_ejected(ejections):
    """
    Return rows of (time, ejected servers, limit) of one service.

    Each row is that of the VM with the most ejections at the time. Its limit by the
    floor is the number of ejected servers plus the logged budget left.
    """
    changes = []
    for number, item in enumerate(ejections):
        changes.append((item.start, 1, number))
        if math.isfinite(item.end):
            changes.append((item.end, 0, number))
    active, allowed, rows = collections.defaultdict(set), {}, []
    for moment, starts, number in sorted(changes):
        item = ejections[number]
        if starts:
            active[item.vm].add(number)
            if item.budget_left is not None:
                servers = {ejections[other].server for other in active[item.vm]}
                allowed[item.vm] = len(servers) + item.budget_left
        else:
            active[item.vm].discard(number)
            if not active[item.vm]:
                del active[item.vm]
        vm = max(active, key=lambda name: (len(active[name]), name), default=item.vm)
        count = len({ejections[other].server for other in active.get(vm, ())})
        rows.append((moment, count, allowed.get(vm)))
    return rows


def draw_ejections(axes, ejections, start, end):
    """Draw the ejected servers of each service and the limit by the floor."""
    services = collections.defaultdict(list)
    for item in ejections:
        services[item.service].append(item)
    sorted_services = sorted(services, key=lambda name: (-len(services[name]), name))
    for service in sorted_services[:MAX_SERVICES]:
        items = services[service]
        rows = compute_ejected(items)
        rows = [(start, 0, None), *rows, (max(end, rows[-1][0]), *rows[-1][1:])]
        times = [row[0] - start for row in rows]
        (line,) = axes.plot(
            times,
            [row[1] for row in rows],
            drawstyle="steps-post",
            label=f"{service}: ejected",
        )
        limits = [math.nan if row[2] is None else row[2] for row in rows]
        axes.plot(
            times,
            limits,
            drawstyle="steps-post",
            linestyle="--",
            color=line.get_color(),
            label=f"{service}: limit by the floor",
        )
    axes.set_ylim(bottom=0)
    _use_whole_numbers(axes)
    return bool(services)


def _use_whole_numbers(axes):
    axes.yaxis.get_major_locator().set_params(integer=True)


def count_versions(versions):
    """
    Return rows of (time, number of VMs by version).

    A stopped VM counts with its last version until it accepts another one.
    """
    changes = sorted(
        (moment, vm, version)
        for vm, rows in versions.items()
        for moment, version, _ in rows
    )
    current, rows = {}, []
    for moment, vm, version in changes:
        current[vm] = version
        rows.append((moment, collections.Counter(current.values())))
    return rows


def draw_versions(axes, versions, start, end):
    """Draw how many VMs have each of the latest configuration versions in force."""
    rows = count_versions(versions)
    if not rows:
        return False
    latest = sorted({version for _, counts in rows for version in counts})
    times = [0, *(moment - start for moment, _ in rows), end - start]
    for version in latest[-MAX_VERSIONS:]:
        counts = [0, *(item[version] for _, item in rows), rows[-1][1][version]]
        axes.plot(times, counts, drawstyle="steps-post", label=f"version {version}")
    axes.set_ylim(bottom=0)
    _use_whole_numbers(axes)
    return True


def render_plots(incident):
    """Return (title, PNG or ``None``) for each plot of the page."""
    start, end = (moment or 0.0 for moment in incident.get_span())
    timeline = incident.timeline
    plots = (
        ("Outcomes", "requests/s", draw_outcomes, (incident.outcomes, start)),
        ("Latency", "ms", draw_latencies, (incident.latencies, start)),
        (
            "Ejections against the floor (most on one VM)",
            "servers",
            draw_ejections,
            (timeline.list_ejections(), start, end),
        ),
        (
            "Configuration versions in force",
            "VMs",
            draw_versions,
            (timeline.versions, start, end),
        ),
    )
    return [
        (
            title,
            render_plot(
                lambda axes, d=draw, x=data: d(axes, *x), title, unit, end - start
            ),
        )
        for title, unit, draw, data in plots
    ]


def write_page(incident, selection, stream, with_traces):
    """Write an incident as an HTML page; see ``incident_output.write_text``."""
    load_figure_class()  # fails before the logs are evaluated, not after
    issues, traces, omitted, clean = [], [], 0, True
    for trace in incident.iterate_traces(selection):
        clean = clean and not has_fault(trace.issues)
        omitted += len(trace.issues)
        issues += trace.issues[: max(0, MAX_ISSUES - len(issues))]
        if len(traces) < MAX_TRACES and (with_traces or has_fault(trace.issues)):
            traces.append("\n".join(format_trace(trace, incident.timeline)))
    fleet_issues = list(incident.iterate_fleet_issues())
    issues = fleet_issues + issues
    listed = "\n".join(format_issue(issue) for issue in issues) or "none"
    omitted += len(fleet_issues) - len(issues)
    if omitted:
        listed += f"\n{omitted} more; text and JSON output list all"
    parts = [
        "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Incident report</title><style>{_STYLE}</style></head><body>",
        "<h1>Incident report</h1>",
        f"<p>{_format_span(incident)}</p>",
        "<h2>Summary</h2><table>",
    ]
    for name, count in sorted(incident.totals.items()):
        parts.append(f"<tr><td>{html.escape(name)}</td><td>{count}</td></tr>")
    parts.append("</table>")
    for title, image in render_plots(incident):
        parts.append(f"<h2>{html.escape(title)}</h2>")
        parts.append(_embed(image, title))
    for title, text in (
        ("Disagreements, contradictions and unknowns", listed),
        ("Requests", "\n\n".join(traces) or "none"),
        ("Logs and clocks", "\n".join(format_logs(incident))),
    ):
        parts.append(f"<h2>{title}</h2><pre>{html.escape(text)}</pre>")
    stream.write("\n".join(parts) + "\n</body></html>\n")
    return clean and not has_fault(fleet_issues)


def _embed(image, title):
    if image is None:
        return "<p>No such events in the logs.</p>"
    data = base64.b64encode(image).decode()
    return f"<img alt='{html.escape(title)}' src='data:image/png;base64,{data}'>"


def _format_span(incident):
    first, last = incident.get_span()
    return f"{format_time(first)} to {format_time(last)}"
