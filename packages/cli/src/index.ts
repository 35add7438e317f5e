/** The command line. Programs use it through the `cactusstair` command, not as a library. */
export { CliError, exitCodes } from './cliError.js';
