/** Child processes of a deployment (gateway, controller, stand-ins) and the log lines that they write. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';

import type { SettingsValues } from './settings-text.js';
import { iniText } from './settings-text.js';

/** One log line of a process, parsed from JSON; a line that is not JSON becomes the message. */
export type LogLine = {
  readonly message: string;
  readonly [field: string]: unknown;
};

const require = createRequire(import.meta.url);
const LINE_TIMEOUT_MS = 15_000;

/** Running children; they are killed on exit, so that an interrupted session leaves none behind. */
const runningChildren = new Set<ChildProcess>();
process.on('exit', () => {
  runningChildren.forEach(child => child.kill('SIGKILL'));
});

/** Path of a binary's JavaScript file. */
export function binaryPath(program: 'gateway' | 'controller' | 'stand-ins'): string {
  const entry = require.resolve(`@hingescale/${program}`);
  return join(dirname(entry), `bin-${program}.js`);
}

/** A child process with its settings file and log; the proof that starts it must end it. */
export class Child {
  readonly lines: LogLine[] = [];
  readonly #programPath: string;
  readonly #settingsFile: string;
  #process: ChildProcess | undefined;
  #exit: Promise<number> = Promise.resolve(0);
  #lineWaiters: (() => void)[] = [];

  constructor(
    program: 'gateway' | 'controller' | 'stand-ins',
    name: string,
    settings: SettingsValues,
  ) {
    this.#programPath = binaryPath(program);
    this.#settingsFile = join(mkdtempSync(join(tmpdir(), 'hingescale-')), `${name}.ini`);
    writeFileSync(this.#settingsFile, iniText(settings));
  }

  /** Id of the process; undefined before its first start. */
  get pid(): number | undefined {
    return this.#process?.pid;
  }

  /** Starts the process and waits for its log line that ends with " started". */
  async start(): Promise<void> {
    this.lines.length = 0;
    const child = spawn(
      process.execPath,
      [...nodeOptions(), this.#programPath, '--config', this.#settingsFile],
      {
        stdio: ['ignore', 'ignore', 'pipe'],
      },
    );
    this.#process = child;
    runningChildren.add(child);
    child.once('exit', () => runningChildren.delete(child));
    this.#exit = new Promise(resolve => {
      child.on('exit', (code, signal) => {
        resolve(signal === null ? (code ?? 1) : 128);
        this.#wakeWaiters();
      });
    });
    const logFile = logFileOf(this.#settingsFile, child.pid);
    let partialLine = '';
    child.stderr?.setEncoding('utf8').on('data', (text: string) => {
      const lines = (partialLine + text).split('\n');
      partialLine = lines.pop() ?? '';
      lines.forEach(line => {
        if (logFile !== undefined) {
          appendFileSync(logFile, `${line}\n`);
        }
        this.#addLine(line);
      });
    });
    await this.waitForLine(line => line.message.endsWith(' started'));
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.#process?.kill(signal);
  }

  /** Resolves with the exit code when the process has ended. */
  exited(): Promise<number> {
    return this.#exit;
  }

  /** Kills the process with SIGKILL, which also ends a suspended one, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.#exit;
  }

  /** Resolves with the first log line that the predicate accepts, among those logged already and later ones. */
  async waitForLine(isExpected: (line: LogLine) => boolean): Promise<LogLine> {
    const deadline = performance.now() + LINE_TIMEOUT_MS;
    for (;;) {
      const found = this.lines.find(isExpected);
      if (found !== undefined) {
        return found;
      }
      if (this.#process?.exitCode !== null || performance.now() > deadline) {
        const log = this.lines.map(line => JSON.stringify(line)).join('\n');
        throw new Error(`process ended or timed out before it logged the expected line:\n${log}`);
      }
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, 100);
        this.#lineWaiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  #addLine(line: string): void {
    try {
      this.lines.push(JSON.parse(line) as LogLine);
    } catch {
      this.lines.push({ message: line });
    }
    this.#wakeWaiters();
  }

  #wakeWaiters(): void {
    const waiters = this.#lineWaiters;
    this.#lineWaiters = [];
    waiters.forEach(wake => {
      wake();
    });
  }
}

// Where PROOF_LOGS names a folder, each process's log is also kept in a file there.
function logFileOf(settingsFile: string, pid: number | undefined): string | undefined {
  const folder = process.env.PROOF_LOGS;
  return folder === undefined ? undefined : join(folder, `${basename(settingsFile)}.${pid}.log`);
}

// Node.js options for each child process, separated by spaces; used for profiling.
function nodeOptions(): string[] {
  const options = process.env.HINGESCALE_NODE_OPTIONS ?? '';
  return options === '' ? [] : options.split(' ');
}
