/** Formats the burn report as text and as an HTML page with bars. */
import type { BurnReport } from '@hingescale/controller';
import type { BurnLine } from '@hingescale/core';
import { BURN_WINDOWS_MIN } from '@hingescale/core';

/** Width of a bar for a burn rate of 1, in pixels. */
const PIXELS_PER_RATE = 40;
/** Width of the longest bar, in pixels. */
const MAX_BAR_PIXELS = 400;
/** Width of a column of the text table, in characters. */
const COLUMN_WIDTH = 20;

/** Formats the reports as a table; a burn rate above 1 uses up more than the objective allows. */
export function burnText(reports: readonly BurnReport[]): string {
  const header = ['workspace', 'model', 'p95 ms', ...BURN_WINDOWS_MIN.map(windowName)];
  const rows = reports.flatMap(report =>
    report.lines.map(line => [
      line.workspace,
      line.model,
      line.firstTokenP95Ms.toFixed(0),
      ...line.burn.map((rate, index) => `${formatRate(rate)} of ${line.windows[index].total}`),
    ]),
  );
  const silent = reports.flatMap(report => report.silent);
  const footer = silent.length === 0 ? [] : [`no reports from: ${silent.join(', ')}`];
  return [header, ...rows]
    .map(cells =>
      cells
        .map(cell => cell.padEnd(COLUMN_WIDTH))
        .join('')
        .trimEnd(),
    )
    .concat(footer)
    .join('\n');
}

/** Formats the reports as a self-contained HTML page that loads no other files. */
export function burnHtml(reports: readonly BurnReport[]): string {
  const sections = reports.map(report => {
    const rows = report.lines.map(rowHtml).join('\n');
    return `<h2>${escapeHtml(report.failureDomain)}</h2>\n<table>${headerHtml()}\n${rows}</table>`;
  });
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:4px 12px;text-align:left}</style></head>
<body><h1>Service-level burn</h1>
<p>A burn rate of 1 uses up the allowance exactly; the line in each bar marks 1.</p>
${sections.join('\n')}
</body></html>
`;
}

function headerHtml(): string {
  const windows = BURN_WINDOWS_MIN.map(minutes => `<th>${windowName(minutes)}</th>`).join('');
  return `<tr><th>workspace</th><th>model</th><th>first token p95</th>${windows}</tr>`;
}

function rowHtml(line: BurnLine): string {
  const bars = line.burn.map(rate => `<td>${barHtml(rate)} ${formatRate(rate)}</td>`).join('');
  const p95 = `${line.firstTokenP95Ms.toFixed(0)} ms`;
  return `<tr><td>${escapeHtml(line.workspace)}</td><td>${escapeHtml(line.model)}</td><td>${p95}</td>${bars}</tr>`;
}

function barHtml(rate: number | undefined): string {
  const width = Math.min(MAX_BAR_PIXELS, (rate ?? 0) * PIXELS_PER_RATE);
  const color = (rate ?? 0) > 1 ? '#c33' : '#393';
  return `<svg width="${Math.max(width, PIXELS_PER_RATE) + 2}" height="14"><rect width="${width}" height="14" fill="${color}"/><line x1="${PIXELS_PER_RATE}" x2="${PIXELS_PER_RATE}" y2="14" stroke="#000"/></svg>`;
}

function windowName(minutes: number): string {
  return minutes < 60 ? `${minutes} min` : `${minutes / 60} h`;
}

function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(2);
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
