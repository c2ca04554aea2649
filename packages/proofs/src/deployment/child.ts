/** A process of the system, started by a proof or the quickstart, with its log lines. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';

import type { SettingsValues } from './settings-text.js';
import { iniText } from './settings-text.js';

/** One log line of a process, as JSON. */
export type LogLine = {
  readonly message: string;
  readonly [field: string]: unknown;
};

const require = createRequire(import.meta.url);
const START_TIMEOUT_MS = 15_000;

/** Children that run; an interrupted session must not leave any behind. */
const running = new Set<ChildProcess>();
process.on('exit', () => {
  running.forEach(child => child.kill('SIGKILL'));
});

/** Path of a binary's JavaScript file. */
export function binaryPath(program: 'gateway' | 'controller' | 'stand-ins'): string {
  const entry = require.resolve(`@hingescale/${program}`);
  return join(dirname(entry), `bin-${program}.js`);
}

/** A child process; every one of them is ended by its own proof. */
export class Child {
  readonly lines: LogLine[] = [];
  readonly #path: string;
  readonly #file: string;
  #process: ChildProcess | undefined;
  #exit: Promise<number> = Promise.resolve(0);
  #waiting: (() => void)[] = [];

  constructor(
    program: 'gateway' | 'controller' | 'stand-ins',
    name: string,
    settings: SettingsValues,
  ) {
    this.#path = binaryPath(program);
    this.#file = join(mkdtempSync(join(tmpdir(), 'hingescale-')), `${name}.ini`);
    writeFileSync(this.#file, iniText(settings));
  }

  /** Starts the process and waits until it says so. */
  async start(): Promise<void> {
    this.lines.length = 0;
    const child = spawn(process.execPath, [...nodeOptions(), this.#path, '--config', this.#file], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.#process = child;
    running.add(child);
    child.once('exit', () => running.delete(child));
    this.#exit = new Promise(resolve => {
      child.on('exit', (code, signal) => {
        resolve(signal === null ? (code ?? 1) : 128);
        this.#wake();
      });
    });
    const logFile = logFileOf(this.#file, child.pid);
    let rest = '';
    child.stderr?.setEncoding('utf8').on('data', (text: string) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop() ?? '';
      lines.forEach(line => {
        if (logFile !== undefined) {
          appendFileSync(logFile, `${line}\n`);
        }
        this.#take(line);
      });
    });
    await this.waitForLine(line => line.message.endsWith(' started'));
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#process?.kill(signal);
  }

  /** Resolves with the exit code when the process has ended. */
  exited(): Promise<number> {
    return this.#exit;
  }

  /** Ends the process at once, a stopped one too. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.#exit;
  }

  /** Resolves with the first line, old or new, that the test accepts. */
  async waitForLine(test: (line: LogLine) => boolean): Promise<LogLine> {
    const until = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      const found = this.lines.find(test);
      if (found !== undefined) {
        return found;
      }
      if (this.#process?.exitCode !== null || performance.now() > until) {
        const log = this.lines.map(line => JSON.stringify(line)).join('\n');
        throw new Error(`process did not come so far:\n${log}`);
      }
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, 100);
        this.#waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  #take(line: string): void {
    try {
      this.lines.push(JSON.parse(line) as LogLine);
    } catch {
      this.lines.push({ message: line });
    }
    this.#wake();
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(wake => {
      wake();
    });
  }
}

// For traces: a folder that keeps what the processes of a test have logged.
function logFileOf(settingsFile: string, pid: number | undefined): string | undefined {
  const folder = process.env.PROOF_LOGS;
  return folder === undefined ? undefined : join(folder, `${basename(settingsFile)}.${pid}.log`);
}

// For profiles: options for the node of each process, separated by spaces.
function nodeOptions(): string[] {
  const options = process.env.HINGESCALE_NODE_OPTIONS ?? '';
  return options === '' ? [] : options.split(' ');
}
