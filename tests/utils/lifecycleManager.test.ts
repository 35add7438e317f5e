import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { LifecycleManager, waitFor } from '@cactusstair/utils';

describe('LifecycleManager', () => {
  it('reports a lasting task that fails and starts it again', async () => {
    const errors: string[] = [];
    const lifecycle = new LifecycleManager((name, error) => {
      errors.push(`${name}: ${(error as Error).message}`);
    });
    let runs = 0;
    lifecycle.startLastingTask('poll', async (signal) => {
      runs += 1;
      if (runs === 1) throw new Error('odd data');
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
    });
    await waitFor(() => runs === 2, { what: 'the second run', timeoutMs: 10_000 });
    assert.deepEqual(errors, ['poll: odd data']);
    await lifecycle.close();
    assert.equal(runs, 2);
  });

  it('does not wait for the pause of a lasting task when it closes', async () => {
    const lifecycle = new LifecycleManager();
    lifecycle.startLastingTask('poll', async () => {
      throw new Error('odd data');
    });
    await lifecycle.close();
  });
});
