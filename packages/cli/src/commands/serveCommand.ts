import type { EntrySettings } from '@cactusstair/server';
import { EntryInstance, loadEntrySettings } from '@cactusstair/server';
import { formatSettingsProblem, locateSetting } from '@cactusstair/utils';

import { CliError, exitCodes } from '../cliError.js';
import { print, printJson } from '../output.js';

function loadOrThrow(file: string): EntrySettings {
  return loadEntrySettings(file).match(
    (settings) => settings,
    (problems) => {
      throw new CliError(problems.map(formatSettingsProblem).join('\n'), exitCodes.usage);
    },
  );
}

/** Checks a settings file. */
export function checkSettings(file: string): void {
  loadOrThrow(file);
  print(`${file}: ok`);
}

/** Names the setting of the port that cannot be listened on. */
function describeListenError(
  error: NodeJS.ErrnoException,
  file: string,
  settings: EntrySettings,
): CliError {
  const entry = Object.entries(settings.listen).find(([, address]) =>
    error.message.includes(address),
  );
  if (!entry) throw error;
  const [name, address] = entry;
  const problem = locateSetting(file, ['listen', name], `${address} cannot be used: in use?`);
  return new CliError(`${formatSettingsProblem(problem)} (${error.message})`, exitCodes.usage);
}

/** Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully. */
export async function serve(file: string): Promise<void> {
  const settings = loadOrThrow(file);
  const instance = new EntryInstance(settings);
  try {
    await instance.start();
  } catch (error) {
    await instance.closeAfterFailedStart();
    throw describeListenError(error as NodeJS.ErrnoException, file, settings);
  }
  const { callers, operators, peers, metrics } = settings.listen;
  printJson({
    ready: true,
    callers: `http://${callers}`,
    operators,
    peers,
    metrics: `http://${metrics}`,
  });
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await instance.stop();
}
