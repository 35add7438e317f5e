import { runCase } from '../common/deployment.mjs';
import { playGarbledAnswers, spoiltHeads } from '../common/garbledAnswers.mjs';

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const answers = await playGarbledAnswers(deployment, hasTrouble, spoiltHeads);
  const broken = answers.filter(
    ({ status, seal }) => status >= 200 && status < 300 && seal === undefined,
  );
  for (const line of broken) deployment.record('MIXED broken', { attempt: line.attempt });
  if (broken.length === 0) return undefined;
  const [{ attempt, kind, bytes }] = broken;
  return (
    `MIXED: ${broken.length} clients got a success without X-Response-Seal; the first, ` +
    `${kind} ${attempt}, with a whole body of ${bytes} bytes`
  );
});
