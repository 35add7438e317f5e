import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const mainFile = fileURLToPath(new URL('../../../packages/cli/dist/main.js', import.meta.url));

/** Exit code and output of a command. */
export interface CommandResult {
  code: number | null;
  stdout: string;
  stderr: string;
}

/** Runs the `cactusstair` command in a child process. */
export function runCommand(...args: string[]): Promise<CommandResult> {
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
