/** What the binaries share: arguments, settings, exit codes, signals. */
import type { Finding } from '@hingescale/core';
import { formatFinding } from '@hingescale/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { SettingsOf, SettingsSchema } from './settings.js';
import { readSettings } from './settings.js';

/** Exit codes of all binaries. */
export const EXIT_CODES = {
  ok: 0,
  /** Something failed that is not the user's fault. */
  failure: 1,
  /** Arguments, settings or a configuration have findings. */
  findings: 2,
  /** The change conflicts with another operator's. */
  conflict: 3,
  /** The platform or the active controller can not be reached. */
  unreachable: 4,
  /** Not everything was confirmed within the time given. */
  unconfirmed: 5,
} as const;

/** Version of the programs. */
export const VERSION = '0.1.0';

/** What a server binary consists of. */
export type ServerBinary<S extends SettingsSchema> = {
  readonly name: string;
  readonly description: string;
  readonly schema: S;
  readonly start: (settings: SettingsOf<S>) => Promise<RunningServer>;
};

/** A started server. */
export type RunningServer = {
  /** Finishes what is in progress; resolves when all of it is done. */
  readonly drain: () => Promise<void>;
  /** Ends at once. */
  readonly stop: () => Promise<void>;
};

/** Runs a server binary until a signal ends it. */
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

/** Prints findings, one a line. */
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

// The first signal drains; a second one ends the process at once.
function installSignals(server: RunningServer): void {
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    const ending = signals === 1 ? server.drain().then(() => server.stop()) : server.stop();
    const code = signals === 1 ? EXIT_CODES.ok : EXIT_CODES.failure;
    ending.then(
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
