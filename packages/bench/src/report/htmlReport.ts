import type { ResultPlot, ResultTable, ScenarioResult } from '../scenario.js';

const WIDTH = 640;
const HEIGHT = 320;
const MARGIN = { left: 64, right: 16, top: 16, bottom: 48 };
const COLORS = ['#1b6ca8', '#d1495b', '#7a9e3f', '#8a6fb3', '#c98b2b', '#4d4d4d'];
const GRID_LINES = 5;

function escapeHtml(text: string | number): string {
  return String(text)
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function formatTick(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

interface Scales {
  x: (value: number) => number;
  y: (value: number) => number;
  maxY: number;
}

function createScales(plot: ResultPlot): Scales {
  const points = plot.series.flatMap(({ points: seriesPoints }) => seriesPoints);
  const maxY = Math.max(1e-9, ...points.map(({ y }) => y)) * 1.05;
  const [minX, maxX] = plot.categories
    ? [-0.5, plot.categories.length - 0.5]
    : [Math.min(...points.map(({ x }) => x)), Math.max(...points.map(({ x }) => x))];
  const plotWidth = WIDTH - MARGIN.left - MARGIN.right;
  const plotHeight = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    x: (value) => MARGIN.left + ((value - minX) / Math.max(1e-9, maxX - minX)) * plotWidth,
    y: (value) => MARGIN.top + (1 - value / maxY) * plotHeight,
    maxY,
  };
}

function drawAxes(plot: ResultPlot, scales: Scales): string {
  const parts: string[] = [];
  for (let line = 0; line <= GRID_LINES; line += 1) {
    const value = (scales.maxY * line) / GRID_LINES;
    const y = scales.y(value).toFixed(1);
    parts.push(
      `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}" stroke="#ddd"/>`,
      `<text x="${MARGIN.left - 6}" y="${y}" dy="4" text-anchor="end">${formatTick(value)}</text>`,
    );
  }
  const ticks = plot.categories
    ? plot.categories.map((label, x) => ({ x, label }))
    : [...new Set(plot.series.flatMap(({ points }) => points.map(({ x }) => x)))].map((x) => ({
        x,
        label: formatTick(x),
      }));
  for (const { x, label } of ticks) {
    const left = scales.x(x).toFixed(1);
    parts.push(
      `<text x="${left}" y="${HEIGHT - 30}" text-anchor="middle">${escapeHtml(label)}</text>`,
    );
  }
  const middle = (WIDTH + MARGIN.left) / 2;
  parts.push(
    `<text x="${middle}" y="${HEIGHT - 8}" text-anchor="middle">${escapeHtml(plot.xLabel)}</text>`,
    `<text transform="translate(14,${HEIGHT / 2}) rotate(-90)" text-anchor="middle">${escapeHtml(plot.yLabel)}</text>`,
  );
  return parts.join('');
}

function drawBars(plot: ResultPlot, scales: Scales): string {
  const groupWidth = scales.x(1) - scales.x(0);
  const barWidth = (groupWidth * 0.8) / plot.series.length;
  return plot.series
    .flatMap(({ name, points }, index) =>
      points.map(({ x, y }) => {
        const left = scales.x(x) - groupWidth * 0.4 + index * barWidth;
        const height = scales.y(0) - scales.y(y);
        return (
          `<rect x="${left.toFixed(1)}" y="${scales.y(y).toFixed(1)}" width="${barWidth.toFixed(1)}" ` +
          `height="${height.toFixed(1)}" fill="${COLORS[index % COLORS.length]}">` +
          `<title>${escapeHtml(name)}: ${formatTick(y)}</title></rect>`
        );
      }),
    )
    .join('');
}

function drawLines(plot: ResultPlot, scales: Scales): string {
  return plot.series
    .map(({ name, points }, index) => {
      const color = COLORS[index % COLORS.length];
      const path = points
        .map(({ x, y }) => `${scales.x(x).toFixed(1)},${scales.y(y).toFixed(1)}`)
        .join(' ');
      const dots = points
        .map(
          ({ x, y }) =>
            `<circle cx="${scales.x(x).toFixed(1)}" cy="${scales.y(y).toFixed(1)}" r="3" fill="${color}">` +
            `<title>${escapeHtml(name)}: ${formatTick(y)}</title></circle>`,
        )
        .join('');
      return `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>${dots}`;
    })
    .join('');
}

function formatPlot(plot: ResultPlot): string {
  const scales = createScales(plot);
  const legend = plot.series
    .map(
      ({ name }, index) =>
        `<span style="color:${COLORS[index % COLORS.length]}">&#9632; ${escapeHtml(name)}</span>`,
    )
    .join(' ');
  const shapes = plot.categories ? drawBars(plot, scales) : drawLines(plot, scales);
  return (
    `<figure><figcaption>${escapeHtml(plot.title)}<br>${legend}</figcaption>` +
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}">${drawAxes(plot, scales)}${shapes}</svg></figure>`
  );
}

function formatHtmlTable(table: ResultTable): string {
  const head = table.columns.map((column) => `<th>${escapeHtml(column)}</th>`).join('');
  const rows = table.rows
    .map((row) => {
      const cells = row.map((cell) => {
        const align = typeof cell === 'number' ? ' class="number"' : '';
        return `<td${align}>${escapeHtml(cell)}</td>`;
      });
      return `<tr>${cells.join('')}</tr>`;
    })
    .join('\n');
  return `<h3>${escapeHtml(table.title)}</h3><table><tr>${head}</tr>\n${rows}</table>`;
}

/** Formats results as one HTML page with inline SVG plots and no outside resources. */
export function formatHtmlReport(results: readonly ScenarioResult[]): string {
  const sections = results.map((result) => {
    const length = result.quick ? ', quick' : '';
    return (
      `<h2>${escapeHtml(result.scenario)} (seed ${result.seed}${length})</h2>` +
      `${result.plots.map(formatPlot).join('\n')}\n${result.tables.map(formatHtmlTable).join('\n')}`
    );
  });
  const style =
    'body{font:14px sans-serif;max-width:1100px;margin:2em auto}svg text{font:11px sans-serif}' +
    'table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}' +
    'td.number{text-align:right}figure{display:inline-block;margin:8px}';
  return (
    `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>cactusstair bench</title>` +
    `<style>${style}</style></head><body><h1>cactusstair bench</h1>\n${sections.join('\n')}</body></html>\n`
  );
}
