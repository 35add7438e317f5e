import { request } from 'undici';
import { z } from 'zod';

const instanceListSchema = z.looseObject({
  instances: z.array(z.looseObject({ name: z.string(), state: z.string() })),
});

/** Reads the platform's list of instances, which lags, and returns the names of leaving ones. */
export async function fetchLeavingInstances(
  objectApi: string,
  timeoutMs: number,
): Promise<Set<string>> {
  const answer = await request(`${objectApi}/v1/instances`, {
    // Uses a new connection: a kept one may no longer deliver data.
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    throw new Error(
      `the object API answered the list of instances with status ${answer.statusCode}`,
    );
  }
  const { instances } = instanceListSchema.parse(await answer.body.json());
  return new Set(instances.filter(({ state }) => state === 'leaving').map(({ name }) => name));
}
