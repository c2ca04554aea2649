/** Binary `hingescale`: the operators' command line. */
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

const WATCH_MS = 1_000;
const DEFAULT_WAIT_S = 19;
/** Given in place of a failure domain, asks for the list of evacuated ones. */
const LIST_WORD = 'list';

const FAILURE_CODES: Readonly<Record<AdminError['reason'], number>> = {
  inactive: EXIT_CODES.unreachable,
  findings: EXIT_CODES.findings,
  conflict: EXIT_CODES.conflict,
  unreachable: EXIT_CODES.unreachable,
  refused: EXIT_CODES.failure,
  unknown: EXIT_CODES.unconfirmed,
};

type Common = { readonly controllers: string; readonly key: string; readonly json: boolean };

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
    builder => paths(builder).example('$0 check examples/acquiring', 'check a directory of files'),
    argv => {
      check(argv.paths as string[], argv.json);
    },
  )
  .command(
    'diff <paths..>',
    'show what would change',
    builder =>
      paths(builder).example('$0 diff examples/acquiring', 'compare with what is in force'),
    async argv => {
      const current = await clientOf(argv).configuration();
      const text = diffText(current.files, readFiles(argv.paths as string[]));
      print(text === '' ? 'no difference' : text);
    },
  )
  .command(
    'apply <paths..>',
    'make files the next revision',
    builder =>
      paths(builder)
        .option('note', { type: 'string', default: '', describe: 'why, for the history' })
        .option('base', {
          type: 'number',
          describe: 'revision you started from; default: the present',
        })
        .option('wait', { type: 'boolean', default: false, describe: 'until in force everywhere' })
        .option('timeout', { type: 'number', default: DEFAULT_WAIT_S, describe: 'seconds to wait' })
        .example('$0 apply examples/acquiring --wait --note "night shift"', ''),
    async argv => {
      await apply(argv, argv.paths as string[], argv);
    },
  )
  .command(
    'trace <request> <files..>',
    'tell the story of one request from log files of entry hosts',
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
    'groups, hosts, processes and revisions',
    builder =>
      builder.option('watch', { type: 'boolean', default: false, describe: 'again and again' }),
    async argv => {
      await status(argv, argv.watch);
    },
  )
  .command(
    'explain <name>',
    'the last orders about a group or a host, with reasons',
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
        .option('undo', { type: 'boolean', default: false, describe: 'take the drain back' }),
    async argv => {
      await clientOf(argv).drain(argv.host, !argv.undo);
      print(`${argv.host}: ${argv.undo ? 'in use again' : 'draining'}`);
    },
  )
  .command(
    'evacuate <domain>',
    'send nothing new to the hosts of a failure domain',
    builder =>
      builder
        .positional('domain', {
          type: 'string',
          demandOption: true,
          describe: `failure domain, or '${LIST_WORD}' for those that are evacuated`,
        })
        .option('end', { type: 'boolean', default: false, describe: 'use it again' })
        .example('$0 evacuate hall-b', 'requests in progress there end by themselves')
        .example('$0 evacuate list', 'evacuated failure domains'),
    async argv => {
      await evacuate(argv, argv.domain, argv.end);
    },
  )
  .command(
    'report <kind>',
    'burn of service levels per workspace and model',
    builder =>
      builder
        .positional('kind', { choices: ['burn'] as const, demandOption: true })
        .option('html', { type: 'boolean', default: false, describe: 'a page with bars' }),
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
  .demandCommand(1, 'name a command')
  .version(VERSION)
  .strict()
  .fail((message, error) => {
    end(message, error as Error | undefined);
  })
  .parseAsync();

function paths<T>(builder: Argv<T>): Argv<T & { paths: string[] | undefined }> {
  return builder.positional('paths', {
    type: 'string',
    array: true,
    describe: 'INI files or directories of them',
  }) as Argv<T & { paths: string[] | undefined }>;
}

function clientOf(argv: Common): AdminClient {
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
  argv: Common,
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
  const behind = await waitInForce(client, head.revision, options.timeout * 1000);
  if (behind.length > 0) {
    print(`not confirmed: ${behind.join(', ')}`);
    process.exitCode = EXIT_CODES.unconfirmed;
  } else {
    print(`revision ${head.revision} is in force everywhere`);
  }
}

async function status(argv: Common, watch: boolean): Promise<void> {
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

async function evacuate(argv: Common, domain: string, end: boolean): Promise<void> {
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

// A user's error is one line, never a stack trace.
function end(message: string | undefined, error: Error | undefined): never {
  if (error instanceof AdminError) {
    printFindings(error.findings);
    process.stderr.write(`hingescale: ${error.message}\n`);
    process.exit(FAILURE_CODES[error.reason]);
  }
  process.stderr.write(`hingescale: ${message ?? error?.message ?? 'failed'}\n`);
  process.exit(message === undefined ? EXIT_CODES.failure : EXIT_CODES.findings);
}

function trace(requestId: string, files: readonly string[]): void {
  const story = traceFiles(requestId, files);
  if (story.length === 0) {
    process.stderr.write(`no line names request ${requestId}\n`);
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  print(story.join('\n'));
}
