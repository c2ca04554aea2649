/**
 * Common parts of the scripts: a small deployment whose entry hosts are processes of their own, started with the command of
 * deploy/system.toml and with settings as platform/settings.ini lays them out. Store and runners are the project's stand-ins,
 * in this process. All addresses are loopback addresses.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const STAND_INS = new URL('../../platform/dist/testing/', import.meta.url);
const { StoreStandIn } = await import(new URL('store-stand-in.js', STAND_INS));
const { RunnerStandIn } = await import(new URL('runner-stand-in.js', STAND_INS));

/** False for the run without the disruption, which must pass. */
export const TROUBLE = process.env.TROUBLE !== '0';
/** The command of deploy/system.toml. */
const COMMAND = ['node', '--max-old-space-size=200', 'target/entry.cjs'];
export const HOST = 'models.example';
export const KEY = 'key-of-north';

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Ports that were free a moment ago, each given once. */
const given = new Set();
export async function freePort() {
  for (;;) {
    const port = await new Promise((resolve, reject) => {
      const server = createServer();
      server.once('error', reject);
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address();
        server.close(() => resolve(port));
      });
    });
    if (!given.has(port)) {
      given.add(port);
      return port;
    }
  }
}

/** A configuration with the routes of a small deployment. */
export function configuration(version, { keys = [KEY], change = c => c } = {}) {
  const route = { host: HOST, timeoutMs: 4000, sloMs: 400, priority: 1, maxAttempts: 2 };
  return change({
    version,
    routes: [
      {
        ...route,
        name: 'chat',
        pathPrefix: '/chat/',
        kind: 'streaming',
        service: 'lm',
        public: false,
        resumable: true,
        gapTargetMs: 200,
      },
      {
        ...route,
        name: 'bulletin',
        pathPrefix: '/bulletin/',
        kind: 'streaming',
        service: 'lm',
        public: false,
        resumable: false,
        gapTargetMs: 200,
      },
      {
        ...route,
        name: 'write',
        pathPrefix: '/write/',
        kind: 'non_idempotent',
        service: 'records',
        public: false,
      },
      {
        ...route,
        name: 'read',
        pathPrefix: '/read/',
        kind: 'idempotent',
        service: 'records',
        public: true,
      },
    ],
    services: [
      {
        name: 'lm',
        healthPath: '/health',
        maxConns: 200,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 18,
          loadsPerS: 50,
          loads_at_once: 20,
          models: [{ name: 'm2', size: 2, share: 1, pace: 1, loadS: 0.06, warmS: 0.02 }],
        },
      },
      { name: 'records', healthPath: '/health', maxConns: 50, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 5000,
    },
    tenants: [{ name: 'north', apiKeys: keys, priority: 1 }],
  });
}

/** One entry host: a process with the deploy file's command. */
export class Entry {
  log = '';
  ended = undefined;
  constructor(name, folder, storeAddress, { zone = 'a', seed, machine = {}, bounds = {} } = {}) {
    Object.assign(this, { name, folder, storeAddress, zone, seed, machine, bounds });
  }

  async create() {
    for (const port of ['callers', 'readiness', 'peers', 'forwarding', 'metrics']) {
      this[`${port}Port`] = await freePort();
    }
    this.file = join(this.folder, `${this.name}.ini`);
    const { cpuShare = 0.675, memoryMb = 350, maxFds = 4100 } = this.machine;
    const at = port => `127.0.0.1:${port}`;
    const bounds = {
      'configuration-apply-ms': 2000,
      'key-revocation-ms': 5000,
      'keys-fail-closed': true,
      'drain-ms': 2000,
      'grace-s': 8,
      'stall-ms': 5000,
      'heartbeat-ms': 1200,
      'retry-ratio': 0.2,
      'retry-window-s': 10,
      'retry-slack': 136,
      'load-window-s': 5,
      'limit-window-ms': 4000,
      'limit-overshoot': 1.5,
      'limit-slack': 5,
      ...this.bounds,
    };
    const lines = [
      `[entry]\nname = ${this.name}\nfailure-domain = ${this.zone}`,
      `[host]\nprocessor-share = ${cpuShare}\nprocessors = 1\nmemory-mb = ${memoryMb}\ndescriptors = ${maxFds}`,
      `[regions]\na = north\nb = north\nc = north`,
      `[listen]\ncallers = ${at(this.callersPort)}\nreadiness = ${at(this.readinessPort)}\nmetrics = ${at(this.metricsPort)}`,
      `[store]\naddress = ${this.storeAddress}`,
      `[peers]\nlisten = ${at(this.peersPort)}\nforwarding = ${at(this.forwardingPort)}`,
      ...(this.seed === undefined ? [] : [`seeds = ${at(this.seed.peersPort)}`]),
      `[bounds]\n${Object.entries(bounds)
        .map(([name, value]) => `${name} = ${value}`)
        .join('\n')}`,
    ];
    writeFileSync(this.file, lines.join('\n'));
    this.start();
  }

  start() {
    const [, ...options] = COMMAND;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(process.execPath, options, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, HINGESCALE_NODE_FILE: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.ended = undefined;
    const keep = chunk => {
      this.log = (this.log + chunk).slice(-4_000_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      this.ended = { code, signal, at: Date.now() };
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async untilReady(ms = 20_000) {
    const end = Date.now() + ms;
    while ((await this.readiness()) !== 200) {
      if (Date.now() > end || this.ended !== undefined) {
        throw new Error(`${this.name} is not ready:\n${this.log.slice(-3000)}`);
      }
      await pause(50);
    }
  }

  readiness(timeoutMs = 1000) {
    return get(this.readinessPort, '/hingescale/ready', timeoutMs).then(
      ({ status }) => status,
      () => 0,
    );
  }

  /** Figures of the process, by name and labels. */
  async metrics() {
    const { body } = await get(this.metricsPort, '/metrics', 3000);
    return body;
  }
}

function get(port, path, timeoutMs) {
  return new Promise((resolve, reject) => {
    const sent = httpRequest({ host: '127.0.0.1', port, path, agent: false, timeout: timeoutMs });
    sent.on('timeout', () => sent.destroy(new Error('no answer in time')));
    sent.on('error', reject);
    sent.on('response', response => {
      let body = '';
      response.on('data', chunk => (body += chunk));
      response.on('end', () => resolve({ status: response.statusCode, body }));
      response.on('error', reject);
    });
    sent.end();
  });
}

/** Sends one request on a connection of its own, and resolves with what its client saw. */
export function call(
  port,
  {
    path,
    id,
    method = 'POST',
    key,
    model,
    headers = {},
    body = 'question',
    deadlineMs = 4000,
    agent = false,
    abortAfterMs,
  },
) {
  return new Promise(resolve => {
    const sentAt = Date.now();
    const all = {
      host: HOST,
      'hingescale-request-id': id,
      'hingescale-deadline-ms': String(deadlineMs),
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      ...(model === undefined
        ? {}
        : {
            'hingescale-model': model,
            'hingescale-token-counts': '100,20',
            'hingescale-prompt-prefix': `aa:40,${id.replace(/[^0-9a-f]/g, '') || 'b'}:60`,
          }),
      ...headers,
    };
    const done = result => {
      clearTimeout(timer);
      resolve({ id, path, sentAt, endedAt: Date.now(), ...result });
    };
    const sent = httpRequest({ host: '127.0.0.1', port, method, path, agent, headers: all });
    const timer = setTimeout(
      () => sent.destroy(new Error('deadline')),
      abortAfterMs ?? deadlineMs + 1000,
    );
    sent.on('error', error => done({ status: 0, error: error.code ?? error.message }));
    sent.on('response', response => {
      let text = '';
      response.on('data', chunk => (text += chunk.toString('latin1')));
      const end = () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          body: text,
          complete: response.complete,
        });
      response.on('end', end);
      response.on('error', end);
    });
    sent.end(method === 'GET' ? undefined : body);
  });
}

/** Store, runners and entry hosts of one run. */
export class Deployment {
  store = new StoreStandIn();
  runners = [];
  entries = [];
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  #record;

  constructor(recordFile) {
    this.#record = recordFile;
    if (recordFile !== undefined) {
      writeFileSync(recordFile, '');
    }
  }

  /** Writes a line of the record, with the time. */
  note(text) {
    const line = `${new Date().toISOString()} ${text}`;
    console.log(line);
    if (this.#record !== undefined) {
      appendFileSync(this.#record, `${line}\n`);
    }
  }

  async startStore(spec = configuration(1)) {
    this.storePort = await this.store.listen();
    this.store.put('config', 'main', spec);
  }

  async addRunner(service, options = {}) {
    const runner = new RunnerStandIn({ store: this.store, service, zone: 'a', ...options });
    this.runners.push(runner);
    await runner.start();
    return runner;
  }

  async addEntry(options = {}) {
    const { storePort = this.storePort, ...others } = options;
    const entry = new Entry(`entry-${this.entries.length}`, this.folder, `127.0.0.1:${storePort}`, {
      seed: this.entries[0],
      ...others,
    });
    this.entries.push(entry);
    await entry.create();
    return entry;
  }

  async until(what, isReached, ms = 20_000) {
    const end = Date.now() + ms;
    while (!(await isReached())) {
      if (Date.now() > end) {
        throw new Error(`did not happen within ${ms} ms: ${what}`);
      }
      await pause(20);
    }
  }

  openHeads() {
    return this.runners.filter(runner => runner.group?.state === 'open');
  }

  stop() {
    for (const entry of this.entries) {
      entry.child?.kill('SIGCONT');
      entry.child?.kill('SIGKILL');
    }
    this.runners.forEach(runner => runner.stop());
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: exits with what `play` returns (0: the rule held, 1: it was broken), or with 2 if the case couldn't run. */
export async function runCase(recordFile, play, limitMs = 115_000) {
  const deployment = new Deployment(recordFile);
  let code = 2;
  const limit = setTimeout(() => {
    deployment.note('the case took too long');
    deployment.stop();
    process.exit(2);
  }, limitMs);
  try {
    code = await play(deployment);
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  deployment.stop();
  await pause(200);
  process.exit(code);
}
