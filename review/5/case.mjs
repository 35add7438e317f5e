import { runCase } from '../common/deployment.mjs';
import { playGarbledAnswers, spoiltIds } from '../common/garbledAnswers.mjs';

const PIECES = 20;

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const answers = await playGarbledAnswers(deployment, hasTrouble, spoiltIds);
  const complete = answers.filter(
    ({ kind, status, end, isWhole }) =>
      kind === 'stream' && status === 200 && end === 'answered' && isWhole,
  );
  const broken = complete.flatMap(({ attempt, body }) => {
    const got = new Set([...body.matchAll(/ piece (\d+)$/gm)].map(([, number]) => Number(number)));
    const missing = Array.from({ length: PIECES }, (_, index) => index + 1).filter(
      (number) => !got.has(number),
    );
    return missing.length > 0 ? [{ attempt, missing }] : [];
  });
  for (const line of broken) deployment.record('ORDER broken', line);
  if (broken.length === 0) return undefined;
  return (
    `ORDER: ${broken.length} streams ended as complete with pieces missing that their server had ` +
    `sent; in the first one, ${broken[0].attempt}, the pieces ${broken[0].missing.join(', ')}`
  );
});
