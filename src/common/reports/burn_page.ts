/** Formats the burn report as a self-contained HTML page. */
import { scaleLinear, scaleUtc } from "d3-scale";
import { area, line } from "d3-shape";
import { burnRate } from "./burn_report.ts";
import type { IBurnReport, IBurnRow } from "./burn_report.ts";
import {
  formatBurnRate,
  formatLatency,
  formatObjective,
  formatRowTitle,
  formatSources,
} from "./burn_text.ts";

const WIDTH = 560;
const HEIGHT = 150;
const MARGIN = { top: 10, right: 24, bottom: 22, left: 40 };
const DAY = 86_400_000;
const QUARTER_HOUR = 900_000;
const TIME_TICKS = 6;
const RATE_TICKS = 4;

const DATE_TIME_FORMAT = new Intl.DateTimeFormat("en-GB", {
  timeZone: "UTC",
  dateStyle: "long",
  timeStyle: "short",
});
const HOUR_FORMAT = new Intl.DateTimeFormat("en-GB", {
  timeZone: "UTC",
  hour: "2-digit",
  minute: "2-digit",
});

/** Minimum top of the scale, so that the limit at 1 is always visible. */
const MINIMUM_SCALE_TOP = 1.5;

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 2rem; color: #222; }
h1 { font-size: 1.4rem; } h2 { font-size: 1rem; margin: 0 0 .3rem; }
.cards { display: flex; flex-wrap: wrap; gap: 1.2rem; }
.card { border: 1px solid #ccc; border-radius: 6px; padding: .8rem; }
table { border-collapse: collapse; font-size: 13px; margin-bottom: .4rem; }
td, th { padding: .1rem .7rem .1rem 0; text-align: left; font-weight: 400; }
th { color: #666; } .missed { color: #b00020; font-weight: 600; }
svg text { font-size: 11px; fill: #555; } pre { font-size: 12px; }
.grid { stroke: #e6e6e6; } .limit { stroke: #b00020; stroke-dasharray: 4 3; }
.burn { fill: none; stroke: #1f5fa8; stroke-width: 1.6; }
.under { fill: #1f5fa8; opacity: .15; }
`;

export function formatBurnPage(report: IBurnReport): string {
  const cards = report.rows.map((row) => formatCard(row, report.now));
  const body =
    cards.length === 0
      ? "<p>Nothing was counted.</p>"
      : `<div class="cards">${cards.join("\n")}</div>`;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>${STYLE}</style>
</head>
<body>
<h1>Service-level burn, ${DATE_TIME_FORMAT.format(report.now)} UTC</h1>
<p>The share that missed the objective over the share that may. Above 1, the
dashed line, the objective is being missed. Times are UTC; each point is a
quarter of an hour.</p>
${body}
<pre>${escapeText(formatSources(report))}</pre>
</body>
</html>
`;
}

function formatCard(row: IBurnRow, now: number): string {
  const names = row.windows.map(({ name }) => `<th>${name}</th>`).join("");
  const burns = row.windows
    .map(({ burn }) => {
      const isMissed = burn !== null && burn > 1;
      const mark = isMissed ? ' class="missed"' : "";
      return `<td${mark}>${formatBurnRate(burn)}</td>`;
    })
    .join("");
  return `<div class="card">
<h2>${escapeText(formatRowTitle(row))}</h2>
<table>
<tr><th>objective</th>${names}<th>p50/p95/p99 ms</th></tr>
<tr><td>${formatObjective(row.objective)}</td>${burns}
<td>${formatLatency(row.latency)}</td></tr>
</table>
${formatPlot(row, now)}
</div>`;
}

interface IPlotPoint {
  readonly at: number;
  readonly burn: number;
}

function formatPlot(row: IBurnRow, now: number): string {
  const points = row.series.map((point) => ({
    at: Math.min(point.from + QUARTER_HOUR / 2, now),
    burn: burnRate(point, row.objective) ?? 0,
  }));
  const top = Math.max(MINIMUM_SCALE_TOP, ...points.map(({ burn }) => burn));
  const timeScale = scaleUtc()
    .domain([now - DAY, now])
    .range([MARGIN.left, WIDTH - MARGIN.right]);
  const rateScale = scaleLinear()
    .domain([0, top])
    .nice(RATE_TICKS)
    .range([HEIGHT - MARGIN.bottom, MARGIN.top]);
  const right = WIDTH - MARGIN.right;
  const rates = rateScale.ticks(RATE_TICKS).map((rate) => {
    const y = rateScale(rate);
    return `<line class="grid" x1="${MARGIN.left}" x2="${right}" y1="${y}" y2="${y}"/>
<text x="${MARGIN.left - 6}" y="${y + 4}" text-anchor="end">${rate}</text>`;
  });
  const times = timeScale.ticks(TIME_TICKS).map((time) => {
    const label = HOUR_FORMAT.format(time);
    return `<text x="${timeScale(time)}" y="${HEIGHT - 6}" text-anchor="middle">${label}</text>`;
  });
  const limit = rateScale(1);
  const path = line<IPlotPoint>()
    .x(({ at }) => timeScale(at))
    .y(({ burn }) => rateScale(burn));
  const areaUnderLine = area<IPlotPoint>()
    .x(({ at }) => timeScale(at))
    .y0(rateScale(0))
    .y1(({ burn }) => rateScale(burn));
  const dots = points.map(
    ({ at, burn }) =>
      `<circle cx="${timeScale(at)}" cy="${rateScale(burn)}" r="2" fill="#1f5fa8"/>`,
  );
  return `<svg width="${WIDTH}" height="${HEIGHT}" role="img">
${rates.join("\n")}
${times.join("\n")}
<path class="under" d="${areaUnderLine(points) ?? ""}"/>
<path class="burn" d="${path(points) ?? ""}"/>
${dots.join("\n")}
<line class="limit" x1="${MARGIN.left}" x2="${right}" y1="${limit}" y2="${limit}"/>
</svg>`;
}

const ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
};

function escapeText(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ESCAPES[character] ?? "");
}
