"""Self-contained HTML report of the policy benchmark."""

from html import escape
from math import log10

WIDTH = 720
HEIGHT = 260
LEFT = 60
BOTTOM = 30
COLOURS = (
    "#222222",
    "#c2185b",
    "#1565c0",
    "#2e7d32",
    "#ef6c00",
    "#6a1b9a",
    "#795548",
)
STYLE = "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
CURVE_POINTS = 200
MAX_WAIT_MS = 100_000.0


def draw_plot(body: list[str], marks: list[tuple[float, float, str]]) -> str:
    """Return an SVG plot with axes and labels.

    :param body: SVG elements of the curves.
    :param marks: x, y and text of each label.
    """
    axes = (
        f'<path d="M{LEFT} 10V{HEIGHT - BOTTOM}H{WIDTH - 10}" '
        'fill="none" stroke="#888"/>'
    )
    labels = [
        f'<text x="{x:.0f}" y="{y:.0f}" font-size="11">{escape(text)}</text>'
        for x, y, text in marks
    ]
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}">'
        + axes
        + "".join(body + labels)
        + "</svg>"
    )


def draw_polyline(points: list[tuple[float, float]], colour: str) -> str:
    """Return an SVG polyline through points."""
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
    return f'<polyline points="{path}" fill="none" stroke="{colour}"/>'


def legend(names: list[str]) -> str:
    """Return a legend with the policies in the colours of their curves."""
    parts = [
        f'<span style="color:{colour}">&#9632; {escape(name)}</span>'
        for name, colour in zip(names, COLOURS, strict=False)
    ]
    return "<p>" + " ".join(parts) + "</p>"


def survival_plot(results) -> str:
    """Plot the share of short requests that wait longer than a given time.

    Both axes are logarithmic.

    :param results: results of the policies.
    """
    span_x = WIDTH - LEFT - 10
    span_y = HEIGHT - BOTTOM - 10
    body = []
    for result, colour in zip(results, COLOURS, strict=False):
        waits = result.waits
        if not waits:
            continue
        points = []
        for step in range(CURVE_POINTS + 1):
            share = 10 ** (-4 * step / CURVE_POINTS)
            index = min(len(waits) - 1, int((1 - share) * len(waits)))
            wait_ms = max(1.0, min(waits[index], MAX_WAIT_MS))
            x = LEFT + span_x * log10(wait_ms) / log10(MAX_WAIT_MS)
            points.append((x, 10 + span_y * step / CURVE_POINTS))
        body.append(draw_polyline(points, colour))
    marks = [
        (LEFT + span_x * power / 5 - 10, HEIGHT - 12, f"{10**power} ms")
        for power in range(5)
    ]
    marks += [
        (5, 15 + span_y * power / 4, f"{100 / 10**power:g} %")
        for power in range(5)
    ]
    return draw_plot(body, marks)


def timeline_plot(results) -> str:
    """Plot the longest wait of short requests in each second."""
    span_x = WIDTH - LEFT - 10
    span_y = HEIGHT - BOTTOM - 10
    max_wait_ms = (
        max((max(one.timeline) for one in results), default=1.0) or 1.0
    )
    body = []
    for result, colour in zip(results, COLOURS, strict=False):
        count = len(result.timeline)
        points = [
            (
                LEFT + span_x * index / count,
                10 + span_y * (1 - wait_ms / max_wait_ms),
            )
            for index, wait_ms in enumerate(result.timeline)
        ]
        body.append(draw_polyline(points, colour))
    marks = [
        (5, 15, f"{max_wait_ms:.0f} ms"),
        (5, HEIGHT - BOTTOM, "0 ms"),
        (WIDTH - 60, HEIGHT - 12, f"{count} s"),
    ]
    return draw_plot(body, marks)


def write_report(
    path: str, text: str, deployment: str, seed: int, results, faults
) -> None:
    """Write the report.

    :param path: file to write.
    :param text: tables of the results.
    :param deployment: name of the deployment.
    :param seed: seed of the run.
    :param results: results of all policies.
    :param faults: results by kind of fault.
    """
    title = f"Slots of a pool: {deployment}, seed {seed}"
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{title}</title>"
        f"<style>{STYLE}</style><h1>{title}</h1>",
        f"<pre>{escape(text)}</pre>",
        "<h2>Short requests that wait longer than a time</h2>",
        legend([one.name for one in results]),
        survival_plot(results),
        "<h2>Longest wait of short requests in each second</h2>",
        timeline_plot(results),
    ]
    for kind, figures in faults.items():
        parts += [
            f"<h2>The scheduling entry: {escape(kind)}</h2>",
            legend([one.name for one in figures]),
            timeline_plot(figures),
        ]
    with open(path, "w", encoding="utf-8") as page:
        page.write("\n".join(parts))
