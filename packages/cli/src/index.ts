/** The command line interface. Use it through the `cactusstair` command, not as a library. */
export { CliError, exitCodes } from './cliError.js';
