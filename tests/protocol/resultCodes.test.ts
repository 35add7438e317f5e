import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';

import { resultCodes } from '@cactusstair/protocol';

const errorsPage = new URL('../../../docs/errors.md', import.meta.url);

describe('resultCodes', () => {
  it('assigns a unique number to each failure', () => {
    const codes = Object.values(resultCodes).map((row) => row.code);
    assert.equal(new Set(codes).size, codes.length);
  });

  it('marks each code below 3000 as not run, so that callers can retry safely', () => {
    for (const row of Object.values(resultCodes)) {
      if (row.code < 3000) assert.equal(row.ran, 'no', `code ${row.code}`);
    }
  });

  it('matches the table in docs/errors.md', () => {
    const page = readFileSync(errorsPage, 'utf8');
    for (const [name, row] of Object.entries(resultCodes)) {
      const cells = [row.code, `\`${name}\``, row.httpStatus, row.grpcStatus, row.ran, row.advice];
      const line = page.split('\n').find((text) => text.startsWith(`| ${row.code} `));
      const found = line
        ?.split('|')
        .slice(1, -1)
        .map((cell) => cell.trim());
      assert.deepEqual(found, cells.map(String), `row of code ${row.code}`);
    }
  });
});
