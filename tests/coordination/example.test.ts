import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const exampleFile = fileURLToPath(new URL('../../../examples/leaseAndClaims.mjs', import.meta.url));

describe('examples/leaseAndClaims.mjs', () => {
  // Keeps docs/coordination.md from going out of date.
  it('prints the output that docs/coordination.md describes', async () => {
    const { stdout } = await promisify(execFile)(process.execPath, [exampleFile]);
    assert.match(stdout, /riga-a-1 resumes and orders v1: lease_short\nthe upstream serves v2\n/);
    assert.match(stdout, /riga-a-2 takes the released lease at once: true\n/);
  });
});
