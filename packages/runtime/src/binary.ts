/** Common parts of the executables: arguments, settings, exit codes and signals. */
import type { Finding } from '@hingescale/core';
import { formatFinding } from '@hingescale/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { SettingsOf, SettingsSchema } from './settings.js';
import { readSettings } from './settings.js';

/** Exit codes of all executables. */
export const EXIT_CODES = {
  ok: 0,
  /** The program failed for a reason that is neither a finding nor one of those below. */
  failure: 1,
  /** Arguments, settings or a configuration have findings. */
  findings: 2,
  /** The change conflicts with another operator's change. */
  conflict: 3,
  /** The platform or the active controller can not be reached. */
  unreachable: 4,
  /** Some processes did not confirm a change within the time limit, or the outcome of a write is unknown. */
  unconfirmed: 5,
} as const;

/** Version of all executables. */
export const VERSION = '0.1.0';

/** Describes a server executable: its name, settings schema and start function. */
export type ServerBinary<S extends SettingsSchema> = {
  readonly name: string;
  readonly description: string;
  readonly schema: S;
  readonly start: (settings: SettingsOf<S>) => Promise<RunningServer>;
};

/** Handle by which a started server is drained and stopped. */
export type RunningServer = {
  /** Waits until all work in progress is finished. */
  readonly drain: () => Promise<void>;
  /** Stops the server at once, without waiting for work in progress. */
  readonly stop: () => Promise<void>;
};

/** Starts a server executable, which then runs until a signal ends it. */
export async function runServer<S extends SettingsSchema>(binary: ServerBinary<S>): Promise<void> {
  const settings = await parseArguments(binary);
  let server: RunningServer;
  try {
    server = await binary.start(settings);
  } catch (error) {
    process.stderr.write(`${binary.name}: ${(error as Error).message}\n`);
    process.exit(EXIT_CODES.failure);
  }
  installSignals(server);
}

/** Prints findings to standard error, one per line. */
export function printFindings(findings: readonly Finding[]): void {
  for (const finding of findings) {
    process.stderr.write(formatFinding(finding) + '\n');
  }
}

async function parseArguments<S extends SettingsSchema>(
  binary: ServerBinary<S>,
): Promise<SettingsOf<S>> {
  const parsed = await yargs(hideBin(process.argv))
    .scriptName(binary.name)
    .usage(`$0 --config FILE\n\n${binary.description}`)
    .option('config', {
      type: 'string',
      demandOption: true,
      describe: 'settings file (INI)',
    })
    .option('check', {
      type: 'boolean',
      default: false,
      describe: 'check the settings and exit',
    })
    .epilogue(
      'Environment: HINGESCALE_SECTION_KEY overrides a setting. Exit codes: 0 ok, 1 failure, 2 findings.',
    )
    .version(VERSION)
    .strict()
    .fail((message, error) => {
      process.stderr.write(`${binary.name}: ${message ?? error.message}\n`);
      process.exit(EXIT_CODES.findings);
    })
    .parseAsync();
  const settings = readSettings(parsed.config, binary.schema);
  if (settings.isErr) {
    printFindings(settings.error);
    process.exit(EXIT_CODES.findings);
  }
  if (parsed.check) {
    process.exit(EXIT_CODES.ok);
  }
  return settings.value;
}

// The first signal drains the server before it stops; a second one stops it at once.
function installSignals(server: RunningServer): void {
  let signalCount = 0;
  const onSignal = (): void => {
    signalCount += 1;
    const shutdown = signalCount === 1 ? server.drain().then(() => server.stop()) : server.stop();
    const code = signalCount === 1 ? EXIT_CODES.ok : EXIT_CODES.failure;
    shutdown.then(
      () => process.exit(code),
      (error: unknown) => {
        process.stderr.write(`stopping failed: ${String((error as Error).stack)}\n`);
        process.exit(EXIT_CODES.failure);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
