import type { EntrySettings } from '@cactusstair/server';
import { EntryInstance, loadEntrySettings } from '@cactusstair/server';
import { createSettingsProblem, formatSettingsProblem } from '@cactusstair/utils';

import { CliError, exitCodes } from '../cliError.js';
import { print, printJson } from '../output.js';

function loadSettingsOrThrow(file: string): EntrySettings {
  return loadEntrySettings(file).match(
    (settings) => settings,
    (problems) => {
      throw new CliError(problems.map(formatSettingsProblem).join('\n'), exitCodes.usage);
    },
  );
}

/** Checks a settings file and prints `ok` if it is valid. */
export function checkSettings(file: string): void {
  loadSettingsOrThrow(file);
  print(`${file}: ok`);
}

/** Creates the error for an address that cannot be listened on, with its setting. */
function createListenError(
  error: NodeJS.ErrnoException,
  file: string,
  settings: EntrySettings,
): CliError {
  const entry = Object.entries(settings.listen).find(([, address]) =>
    error.message.includes(address),
  );
  if (!entry) throw error;
  const [name, address] = entry;
  const problem = createSettingsProblem(
    file,
    ['listen', name],
    `cannot listen on ${address}; is it in use?`,
  );
  return new CliError(`${formatSettingsProblem(problem)} (${error.message})`, exitCodes.usage);
}

/** Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully. */
export async function serve(file: string): Promise<void> {
  const settings = loadSettingsOrThrow(file);
  const instance = new EntryInstance(settings);
  try {
    await instance.start();
  } catch (error) {
    await instance.closeAfterFailedStart();
    throw createListenError(error as NodeJS.ErrnoException, file, settings);
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
