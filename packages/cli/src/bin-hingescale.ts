/** Executable `hingescale`: the operators' command line. */
import { formatFinding, readConfiguration } from '@hingescale/core';
import { EXIT_CODES, printFindings, sleep, VERSION } from '@hingescale/runtime';
import type { Argv } from 'yargs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { AdminClient, AdminError } from './admin-client.js';
import { burnHtml, burnText } from './burn-output.js';
import { readFiles } from './files.js';
import {
  diffText,
  evacuationsText,
  explanationText,
  historyText,
  print,
  printJson,
  statusText,
} from './output.js';
import { traceFiles } from './trace.js';
import { waitInForce } from './wait-in-force.js';

/** Period of `status --watch`, in milliseconds. */
const WATCH_MS = 1_000;
/** Default time for which `apply --wait` waits, in seconds. */
const DEFAULT_WAIT_S = 19;
/** Argument of `evacuate` that lists the evacuated failure domains instead of naming one. */
const LIST_WORD = 'list';

/** Exit code of each reason for which a call of the administration API fails. */
const FAILURE_CODES: Readonly<Record<AdminError['reason'], number>> = {
  inactive: EXIT_CODES.unreachable,
  findings: EXIT_CODES.findings,
  conflict: EXIT_CODES.conflict,
  unreachable: EXIT_CODES.unreachable,
  refused: EXIT_CODES.failure,
  unknown: EXIT_CODES.unconfirmed,
};

/** Options that all commands share. */
type CommonOptions = { readonly controllers: string; readonly key: string; readonly json: boolean };

await yargs(hideBin(process.argv))
  .scriptName('hingescale')
  .env('HINGESCALE')
  .option('controllers', {
    type: 'string',
    default: 'http://127.0.0.1:7070',
    describe: 'URLs of administration APIs, separated by commas',
  })
  .option('key', { type: 'string', default: '', describe: 'operator key (better: HINGESCALE_KEY)' })
  .option('json', { type: 'boolean', default: false, describe: 'answer in JSON' })
  .command(
    'check <paths..>',
    'check configuration files, offline',
    builder =>
      withPaths(builder).example('$0 check examples/acquiring', 'check a directory of files'),
    argv => {
      check(argv.paths as string[], argv.json);
    },
  )
  .command(
    'diff <paths..>',
    'show how files differ from the configuration in force',
    builder =>
      withPaths(builder).example(
        '$0 diff examples/acquiring',
        'compare with the configuration in force',
      ),
    async argv => {
      const current = await clientOf(argv).configuration();
      const text = diffText(current.files, readFiles(argv.paths as string[]));
      print(text === '' ? 'no difference' : text);
    },
  )
  .command(
    'apply <paths..>',
    'submit files as the next revision',
    builder =>
      withPaths(builder)
        .option('note', {
          type: 'string',
          default: '',
          describe: 'reason for the change, kept in the history',
        })
        .option('base', {
          type: 'number',
          describe: 'revision that the files are based on; default: the current one',
        })
        .option('wait', {
          type: 'boolean',
          default: false,
          describe: 'wait until the revision is in force everywhere',
        })
        .option('timeout', { type: 'number', default: DEFAULT_WAIT_S, describe: 'seconds to wait' })
        .example('$0 apply examples/acquiring --wait --note "night shift"', ''),
    async argv => {
      await apply(argv, argv.paths as string[], argv);
    },
  )
  .command(
    'trace <request> <files..>',
    'show the events of one request from log files of entry hosts',
    builder =>
      builder
        .positional('request', {
          type: 'string',
          demandOption: true,
          describe: 'id of the request',
        })
        .positional('files', { type: 'string', array: true, demandOption: true })
        .example('$0 trace ae50393258ceefcc entry-*.log', ''),
    argv => {
      trace(argv.request, argv.files as string[]);
    },
  )
  .command(
    'history',
    'list accepted revisions',
    builder => builder,
    async argv => {
      const { head } = await clientOf(argv).configuration();
      if (argv.json) {
        printJson([head, ...head.history]);
      } else {
        print(historyText(head));
      }
    },
  )
  .command(
    'status',
    'show groups, hosts, processes and revisions',
    builder =>
      builder.option('watch', { type: 'boolean', default: false, describe: 'repeat every second' }),
    async argv => {
      await status(argv, argv.watch);
    },
  )
  .command(
    'explain <name>',
    'show the last orders about a group or a host, with reasons',
    builder => builder.positional('name', { type: 'string', demandOption: true }),
    async argv => {
      const orders = await clientOf(argv).explain(argv.name);
      if (argv.json) {
        printJson(orders);
      } else {
        print(orders.length === 0 ? 'no orders yet' : explanationText(orders));
      }
    },
  )
  .command(
    'drain <host>',
    'move groups away from a host',
    builder =>
      builder
        .positional('host', { type: 'string', demandOption: true })
        .option('undo', { type: 'boolean', default: false, describe: 'end the drain' }),
    async argv => {
      await clientOf(argv).drain(argv.host, !argv.undo);
      print(`${argv.host}: ${argv.undo ? 'in use again' : 'draining'}`);
    },
  )
  .command(
    'evacuate <domain>',
    'stop sending new requests to the hosts of a failure domain',
    builder =>
      builder
        .positional('domain', {
          type: 'string',
          demandOption: true,
          describe: `failure domain, or '${LIST_WORD}' to list the evacuated ones`,
        })
        .option('end', { type: 'boolean', default: false, describe: 'end the evacuation' })
        .example('$0 evacuate hall-b', 'requests in progress there are not interrupted')
        .example('$0 evacuate list', 'evacuated failure domains'),
    async argv => {
      await evacuate(argv, argv.domain, argv.end);
    },
  )
  .command(
    'report <kind>',
    'report burn rates of service levels per workspace and model',
    builder =>
      builder
        .positional('kind', { choices: ['burn'] as const, demandOption: true })
        .option('html', {
          type: 'boolean',
          default: false,
          describe: 'print an HTML page with bars',
        }),
    async argv => {
      const reports = await clientOf(argv).burn();
      if (argv.json) {
        printJson(reports);
      } else {
        print(argv.html ? burnHtml(reports) : burnText(reports));
      }
    },
  )
  .completion('completion', 'print a script for shell completion')
  .epilogue(
    'Exit codes: 0 ok, 1 failure, 2 findings, 3 conflict, 4 unreachable, 5 not confirmed or unknown.',
  )
  .demandCommand(1, 'a command is required')
  .version(VERSION)
  .strict()
  .fail((message, error) => {
    exitWithError(message, error as Error | undefined);
  })
  .parseAsync();

function withPaths<T>(builder: Argv<T>): Argv<T & { paths: string[] | undefined }> {
  return builder.positional('paths', {
    type: 'string',
    array: true,
    describe: 'INI files, or directories that contain them',
  }) as Argv<T & { paths: string[] | undefined }>;
}

function clientOf(argv: CommonOptions): AdminClient {
  const urls = argv.controllers.split(',').map(url => url.trim());
  return new AdminClient({ urls, key: argv.key });
}

function check(files: readonly string[], json: boolean): void {
  const result = readConfiguration(readFiles(files));
  if (result.isErr) {
    if (json) {
      printJson(result.error);
    } else {
      print(result.error.map(formatFinding).join('\n'));
    }
    process.exitCode = EXIT_CODES.findings;
    return;
  }
  const { models, workspaces, services, policies } = result.value;
  print(
    `ok: ${models.size} models, ${workspaces.size} workspaces, ${services.size} services, ${policies.size} policies`,
  );
}

async function apply(
  argv: CommonOptions,
  files: readonly string[],
  options: { note: string; base?: number; wait: boolean; timeout: number },
): Promise<void> {
  const client = clientOf(argv);
  const base = options.base ?? (await client.configuration()).head.revision;
  const head = await client.apply(readFiles(files), base, options.note);
  if (argv.json) {
    printJson(head);
  } else {
    print(`revision ${head.revision} accepted`);
  }
  if (!options.wait) {
    return;
  }
  const unconfirmed = await waitInForce(client, head.revision, options.timeout * 1000);
  if (unconfirmed.length > 0) {
    print(`not confirmed: ${unconfirmed.join(', ')}`);
    process.exitCode = EXIT_CODES.unconfirmed;
  } else {
    print(`revision ${head.revision} is in force everywhere`);
  }
}

async function status(argv: CommonOptions, watch: boolean): Promise<void> {
  const client = clientOf(argv);
  do {
    const statuses = await client.statuses();
    if (argv.json) {
      printJson(statuses);
    } else {
      print(statusText(statuses));
    }
    if (watch) {
      await sleep(WATCH_MS);
    }
  } while (watch);
}

async function evacuate(argv: CommonOptions, domain: string, end: boolean): Promise<void> {
  const client = clientOf(argv);
  if (domain === LIST_WORD) {
    const evacuations = await client.evacuations();
    if (argv.json) {
      printJson(evacuations);
    } else {
      print(evacuationsText(evacuations));
    }
    return;
  }
  const order = await client.evacuate(domain, !end);
  if (argv.json) {
    printJson(order);
  } else {
    print(`${order.failureDomain}: ${order.evacuated ? 'evacuated' : 'in use again'}`);
  }
}

// Prints an error as one line, without a stack trace, and exits.
function exitWithError(message: string | undefined, error: Error | undefined): never {
  if (error instanceof AdminError) {
    printFindings(error.findings);
    process.stderr.write(`hingescale: ${error.message}\n`);
    process.exit(FAILURE_CODES[error.reason]);
  }
  process.stderr.write(`hingescale: ${message ?? error?.message ?? 'failed'}\n`);
  process.exit(message === undefined ? EXIT_CODES.failure : EXIT_CODES.findings);
}

function trace(requestId: string, files: readonly string[]): void {
  const lines = traceFiles(requestId, files);
  if (lines.length === 0) {
    process.stderr.write(`no log line mentions request ${requestId}\n`);
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  print(lines.join('\n'));
}
