/** The burn report as text and as a page with bars. */
import type { BurnReport } from '@hingescale/controller';
import type { BurnLine } from '@hingescale/core';
import { BURN_WINDOWS_MIN } from '@hingescale/core';

const BAR_PIXELS = 40;
const MAX_BAR = 400;

/** The report as a table; a burn rate above 1 uses up more than the objective allows. */
export function burnText(reports: readonly BurnReport[]): string {
  const head = ['workspace', 'model', 'p95 ms', ...BURN_WINDOWS_MIN.map(windowName)];
  const rows = reports.flatMap(report =>
    report.lines.map(line => [
      line.workspace,
      line.model,
      line.firstTokenP95Ms.toFixed(0),
      ...line.burn.map((rate, index) => `${formatRate(rate)} of ${line.windows[index].total}`),
    ]),
  );
  const silent = reports.flatMap(report => report.silent);
  const tail = silent.length === 0 ? [] : [`not heard: ${silent.join(', ')}`];
  return [head, ...rows]
    .map(cells =>
      cells
        .map(cell => cell.padEnd(20))
        .join('')
        .trimEnd(),
    )
    .concat(tail)
    .join('\n');
}

/** The report as a page of its own, without anything to load. */
export function burnHtml(reports: readonly BurnReport[]): string {
  const sections = reports.map(report => {
    const rows = report.lines.map(lineHtml).join('\n');
    return `<h2>${escape(report.failureDomain)}</h2>\n<table>${headHtml()}\n${rows}</table>`;
  });
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:4px 12px;text-align:left}</style></head>
<body><h1>Service-level burn</h1>
<p>1 uses the allowance up exactly; the line in each bar stands at 1.</p>
${sections.join('\n')}
</body></html>
`;
}

function headHtml(): string {
  const windows = BURN_WINDOWS_MIN.map(minutes => `<th>${windowName(minutes)}</th>`).join('');
  return `<tr><th>workspace</th><th>model</th><th>first token p95</th>${windows}</tr>`;
}

function lineHtml(line: BurnLine): string {
  const bars = line.burn.map(rate => `<td>${barHtml(rate)} ${formatRate(rate)}</td>`).join('');
  const p95 = `${line.firstTokenP95Ms.toFixed(0)} ms`;
  return `<tr><td>${escape(line.workspace)}</td><td>${escape(line.model)}</td><td>${p95}</td>${bars}</tr>`;
}

function barHtml(rate: number | undefined): string {
  const width = Math.min(MAX_BAR, (rate ?? 0) * BAR_PIXELS);
  const color = (rate ?? 0) > 1 ? '#c33' : '#393';
  return `<svg width="${Math.max(width, BAR_PIXELS) + 2}" height="14"><rect width="${width}" height="14" fill="${color}"/><line x1="${BAR_PIXELS}" x2="${BAR_PIXELS}" y2="14" stroke="#000"/></svg>`;
}

function windowName(minutes: number): string {
  return minutes < 60 ? `${minutes} min` : `${minutes / 60} h`;
}

function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(2);
}

function escape(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
