/**
 * Runs the compiled test files. Failures of tests that are listed in KNOWN-RED.txt are printed but
 * do not affect the exit code; any other failure does.
 *
 * Usage: node tests/run.mjs [path prefix below tests/, for example coordination/lease]
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

const testsDir = dirname(fileURLToPath(import.meta.url));
const distDir = join(testsDir, 'dist');
const knownRedFile = join(testsDir, '..', 'KNOWN-RED.txt');
const CONCURRENT_FILES = 4;
const FILE_TIMEOUT_MS = 10 * 60 * 1000;

/** Reads the test names from the lines of KNOWN-RED.txt that start with "test: ". */
function readKnownRed() {
  if (!existsSync(knownRedFile)) return new Set();
  return new Set(
    readFileSync(knownRedFile, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length).trim()),
  );
}

function findTestFiles(prefix) {
  return readdirSync(distDir, { recursive: true })
    .map(String)
    .filter((file) => file.endsWith('.test.js') && file.startsWith(prefix))
    .filter((file) => existsSync(join(testsDir, file.replace(/\.js$/, '.ts'))))
    .map((file) => join(distDir, file))
    .sort();
}

const knownRed = readKnownRed();
const counts = { passed: 0, failed: 0, known: 0 };
const failures = [];
const files = findTestFiles(process.argv[2] ?? '');
const stream = run({ files, concurrency: CONCURRENT_FILES, timeout: FILE_TIMEOUT_MS });

stream.on('test:pass', (event) => {
  if (event.details.type !== 'suite') counts.passed += 1;
});
stream.on('test:fail', (event) => {
  if (event.details.type === 'suite') return;
  // A parent fails with its subtests. It is not counted, so that known failures stay known.
  if (event.details.error?.failureType === 'subtestsFailed') return;
  if (knownRed.has(event.name)) {
    counts.known += 1;
    return;
  }
  counts.failed += 1;
  failures.push(`${relative(testsDir, event.file ?? '')}: ${event.name}`);
});
// `run` sets the exit code on any failure; this handler overrides it.
process.on('exit', () => {
  if (knownRed.size > 0) {
    console.log(`\nKNOWN-RED.txt:\n${readFileSync(knownRedFile, 'utf8')}`);
  }
  for (const failure of failures) console.log(`failed: ${failure}`);
  if (counts.known > 0) console.log(`${counts.known} listed failures passed over`);
  console.log(`${counts.passed} passed, ${counts.failed} failed`);
  process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0;
});
stream.compose(new spec()).pipe(process.stdout);
