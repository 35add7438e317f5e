import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const mainFile = fileURLToPath(new URL('../../../packages/cli/dist/main.js', import.meta.url));

/** How a command ended. */
export interface CommandEnd {
  code: number | null;
  stdout: string;
  stderr: string;
}

/** Runs the `cactusstair` command. */
export function runCommand(...args: string[]): Promise<CommandEnd> {
  const child = spawn(process.execPath, [mainFile, ...args]);
  const end = { stdout: '', stderr: '' };
  child.stdout.on('data', (chunk: Buffer) => {
    end.stdout += String(chunk);
  });
  child.stderr.on('data', (chunk: Buffer) => {
    end.stderr += String(chunk);
  });
  return new Promise((resolve) => {
    child.on('close', (code) => resolve({ code, ...end }));
  });
}
