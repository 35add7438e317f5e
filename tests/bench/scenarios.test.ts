import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { formatHtmlReport, formatTextTable, scenarios } from '@cactusstair/bench';

describe('scenarios', () => {
  for (const name of ['upstream-choice', 'overload']) {
    describe(name, () => {
      it('gives the same results for the same seed, so that figures can be reproduced', async () => {
        const options = { seed: 3, quick: true, durationMs: 6000 };
        const first = await scenarios[name]!.run(options);
        const second = await scenarios[name]!.run(options);
        assert.deepEqual(second, first);
        const other = await scenarios[name]!.run({ ...options, seed: 4 });
        assert.notDeepEqual(other.tables, first.tables);
      });
    });
  }

  it('shows at least the goodput of each baseline for the policy under overload', async () => {
    const result = await scenarios.overload!.run({ seed: 1, quick: true, durationMs: 30_000 });
    for (const table of result.tables) {
      const read = (row: (string | number)[], column: string) =>
        Number(row[table.columns.indexOf(column)]);
      for (const load of [1.5, 2, 3]) {
        const rows = table.rows.filter((row) => row[0] === load);
        const policy = rows.find((row) => row[1] === 'policy')!;
        for (const row of rows) {
          assert.ok(
            read(policy, 'good /s') >= read(row, 'good /s'),
            `${table.title}, load ${load}: ${row[1]} is better`,
          );
        }
        assert.ok(read(policy, 'calls per sent request') <= 1.2, `${table.title}, load ${load}`);
      }
    }
  });
});

describe('reports', () => {
  const table = {
    title: 'a <b>',
    columns: ['name', 'count'],
    rows: [['x', 1] as [string, number]],
  };

  it('aligns columns in text', () => {
    assert.equal(formatTextTable(table), 'a <b>\n\nname  count\n----  -----\nx         1\n');
  });

  it('escapes names in HTML and draws each series', () => {
    const page = formatHtmlReport([
      {
        scenario: 's<1>',
        seed: 1,
        quick: true,
        tables: [table],
        plots: [
          {
            title: 'p',
            xLabel: 'x',
            yLabel: 'y',
            series: [
              {
                name: 'one',
                points: [
                  { x: 0, y: 1 },
                  { x: 1, y: 2 },
                ],
              },
              {
                name: 'two',
                points: [
                  { x: 0, y: 3 },
                  { x: 1, y: 4 },
                ],
              },
            ],
          },
        ],
      },
    ]);
    assert.ok(
      page.includes('s&lt;1&gt;') && page.includes('a &lt;b&gt;') && !page.includes('a <b>'),
    );
    assert.equal(page.split('<polyline').length - 1, 2);
    assert.ok(!page.includes('NaN'));
  });
});
