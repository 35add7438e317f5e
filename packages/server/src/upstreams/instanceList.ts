import { request } from 'undici';
import { z } from 'zod';

const instanceListSchema = z.looseObject({
  instances: z.array(z.looseObject({ name: z.string(), state: z.string() })),
});

/** Reads the platform's lagging list and returns the names of the instances that leave. */
export async function fetchLeavingInstances(
  objectApi: string,
  timeoutMs: number,
): Promise<Set<string>> {
  const answer = await request(`${objectApi}/v1/instances`, {
    // A connection that has gone silent must not hide the list.
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    throw new Error(`the list of instances was answered with status ${answer.statusCode}`);
  }
  const { instances } = instanceListSchema.parse(await answer.body.json());
  return new Set(instances.filter(({ state }) => state === 'leaving').map(({ name }) => name));
}
