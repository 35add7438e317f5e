import { runCase } from '../common/deployment.mjs';
import { playGarbledAnswers, ROUTES, spoiltHeads } from '../common/garbledAnswers.mjs';

/** "half a second later" in the rule. */
const GRACE_MS = 500;

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const answers = await playGarbledAnswers(deployment, hasTrouble, spoiltHeads);
  const ran = new Set(
    deployment.events.filter(({ event }) => event === 'run').map(({ attempt }) => attempt),
  );
  const late = answers.filter(({ kind, tookMs }) => tookMs >= ROUTES[kind].timeout_ms);
  const broken = late.filter(
    ({ kind, tookMs, status }) =>
      status === undefined && tookMs >= ROUTES[kind].timeout_ms + GRACE_MS,
  );
  for (const { attempt, kind, end } of broken) {
    deployment.record('CONFIG broken', { attempt, kind, end, hasRun: ran.has(attempt) });
  }
  if (broken.length * 2 <= late.length || broken.length === 0) return undefined;
  const records = broken.filter(({ attempt, kind }) => kind === 'record' && ran.has(attempt));
  return (
    `CONFIG: ${late.length} requests were unanswered at their route's timeout_ms and ` +
    `${broken.length} of them until the client's deadline; ${records.length} of those are unsafe ` +
    'requests that ran'
  );
});
