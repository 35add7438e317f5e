import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, Script } from './support/scriptedUpstream.js';
import { formatChunk, formatStreamHead, LAST_CHUNK } from './support/scriptedUpstream.js';

const EVENT_COUNT = 10;
const LARGE_PACE_MS = 300;

const route = createRoute({
  kind: 'stream',
  isResumable: true,
  maxAttempts: 3,
  timeoutMs: 6000,
  latencyGoalMs: 1000,
  maxEventGapMs: 2000,
  modelSizes: ['small', 'large'],
});

const headers = { 'x-model': '*', 'x-token-counts': `100,${EVENT_COUNT}` };

/** Streams the events of an answer that names its model, a slow one if the model is the large one. */
function answerAtPace(confidence: string): Script {
  return (socket, request) => {
    const model = request.headers['x-model'] ?? '';
    socket.write(formatStreamHead(request, { 'X-Confidence': confidence }));
    let id = 0;
    const sendNext = () => {
      id += 1;
      socket.write(formatChunk(`id: ${id}\ndata: ${model}\n\n`));
      if (id === EVENT_COUNT) socket.end(LAST_CHUNK);
      else setTimeout(sendNext, model === 'large' ? LARGE_PACE_MS : 1);
    };
    sendNext();
  };
}

describe('model sizes', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  async function openFixture(script: Script) {
    const pair = await RelayFixture.openPair([route], script);
    fixture = pair.fixture;
    return () => pair.upstreams.flatMap(({ received }): ReceivedRequest[] => received);
  }

  /** Lets the relay see how long answers of the large model take. */
  async function teachLarge(): Promise<void> {
    const calls = Array.from({ length: 6 }, () =>
      sendRequest(fixture.callerPort, { headers: { ...headers, 'x-model': 'large' } }),
    );
    await Promise.all(calls);
  }

  // Streams that could not be complete in time were begun, and cut off at their deadline.
  it('do not replace an answer by one that cannot be complete in time', async () => {
    const listReceived = await openFixture(answerAtPace('10'));
    await teachLarge();
    const before = listReceived().length;
    const answer = await sendRequest(fixture.callerPort, {
      headers: { ...headers, 'x-deadline-ms': '1500' },
    });
    assert.equal(answer.isWhole, true);
    assert.match(answer.body, /small/);
    assert.equal(listReceived().length - before, 1);
  });

  it('replace an answer by a better one that can be complete in time', async () => {
    await openFixture(answerAtPace('10'));
    await teachLarge();
    const answer = await sendRequest(fixture.callerPort, {
      headers: { ...headers, 'x-deadline-ms': '6000' },
    });
    assert.equal(answer.isWhole, true);
    assert.match(answer.body, /large/);
  });

  it('are logged with what was expected of each', async () => {
    await openFixture(answerAtPace('95'));
    await sendRequest(fixture.callerPort, { headers });
    await fixture.waitForLine('"step":"size_chosen"');
    const line = fixture.lines
      .join('')
      .split('\n')
      .find((text) => text.includes('size_chosen'))!;
    assert.match(line, /"expected":\["small [^"]+","large [^"]+"\]/);
  });

  it('are counted with the expected and the observed completion', async () => {
    await openFixture(answerAtPace('95'));
    await sendRequest(fixture.callerPort, { headers });
    const url = `http://127.0.0.1:${fixture.readinessPort}/metrics`;
    const text = await (await fetch(url)).text();
    const labels = 'route="route",model="small"';
    assert.match(text, new RegExp(`size_chosen_total\\{${labels}\\} 1`));
    assert.match(text, new RegExp(`size_completed_total\\{${labels}\\} 1`));
    assert.match(text, new RegExp(`size_expected_seconds_sum\\{${labels}\\} 0\\.\\d+`));
    assert.match(text, new RegExp(`size_observed_seconds_sum\\{${labels}\\} 0\\.\\d+`));
  });
});
