/** Starts a small deployment: a store, runners and entry hosts as separate processes, and their load balancer. */
import { fork, spawn } from 'node:child_process';
import { randomBytes, randomInt } from 'node:crypto';
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { fill, readDeployFile, ROOT } from './settings.mjs';
import { Store } from './store.mjs';

const RUNNER = fileURLToPath(new URL('runner.mjs', import.meta.url));
const HEARTBEATS_TO_LAPSE = 3;
/** A case ends after this time at the latest. */
const LIMIT_MS = 118_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Different free ports; all are held until the last one has been found. */
async function freePorts(ip, count) {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
  return ports;
}

export class Deployment {
  runners = new Map();
  entries = [];
  /** Runs and their ends, in the order in which the runners told them. */
  runs = [];
  ordersSeen = [];

  /** `site` holds zones, bounds, heartbeatMs and limits, as on a settings page. */
  constructor(site) {
    this.site = site;
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), 'hingescale-review-'));
    this.ips = `127.${randomInt(10, 250)}.${randomInt(0, 250)}`;
    this.nextIp = 1;
    process.on('exit', () => this.killAll());
    ['SIGINT', 'SIGTERM'].forEach(signal => process.on(signal, () => process.exit(2)));
    setTimeout(() => {
      console.error('the case took too long');
      process.exit(2);
    }, LIMIT_MS).unref();
  }

  async start(configuration) {
    this.storePort = await this.store.listen(this.newIp());
    this.storeIp = this.store.server.address().address;
    this.store.put('config', 'main', configuration);
  }

  newIp() {
    const ip = `${this.ips}.${this.nextIp}`;
    this.nextIp += 1;
    return ip;
  }

  /** Starts a runner and resolves once its entry is in the store. */
  addRunner(options) {
    const id = `i-${randomBytes(4).toString('hex')}`;
    const full = { id, ip: this.newIp(), stallMs: this.site.bounds.stallMs, ...options };
    const child = fork(RUNNER, [JSON.stringify(full)]);
    const runner = { id, options, child, entry: undefined, members: undefined, isDead: false };
    this.runners.set(id, runner);
    return new Promise((resolve, reject) => {
      child.on('error', reject);
      child.on('message', message => {
        this.receive(runner, message);
        resolve(runner);
      });
      child.on('exit', () => {
        runner.isDead = true;
        this.tellHead(runner, runner.entry?.group?.name, runner.members);
        const lapseMs = HEARTBEATS_TO_LAPSE * this.site.heartbeatMs;
        setTimeout(() => this.store.remove('servers', id), lapseMs).unref();
      });
    });
  }

  receive(runner, message) {
    if (message.kind === 'entry') {
      const before = { group: runner.entry?.group?.name, members: runner.members };
      runner.entry = message.entry;
      runner.members = message.members;
      this.store.put('servers', runner.id, message.entry);
      if (before.group !== undefined && before.group !== message.entry.group?.name) {
        this.tellHead(runner, before.group, before.members);
      }
    } else if (message.kind === 'order') {
      this.ordersSeen.push(message);
    } else {
      this.runs.push(message);
    }
  }

  // The head of a group stands still once one of its members has died or left.
  tellHead(member, group, members) {
    const head = members === undefined ? undefined : this.runners.get(members[0]);
    if (head !== undefined && head !== member && !head.isDead && head.child.connected) {
      head.child.send({ kind: 'member-lost', group });
    }
  }

  /** Heads of open groups. */
  openHeads() {
    return [...this.runners.values()].filter(
      ({ isDead, entry }) => !isDead && entry?.group?.state === 'open' && entry.group.rank === 0,
    );
  }

  /** Starts an entry host with the command of the deploy file. */
  async addEntryHost(zone) {
    const ip = this.newIp();
    const name = `front-${zone}-${this.entries.length + 1}`;
    const [front, ready, first, last] = await freePorts(ip, 4);
    const fields = {
      nodeName: name,
      zone,
      ip,
      zones: this.site.zones,
      heartbeatMs: this.site.heartbeatMs,
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      portRange: [first, last],
      limits: { cpuShare: 0.675, cores: 1 },
      bounds: this.site.bounds,
      platform: { address: `${this.storeIp}:${this.storePort}` },
    };
    const { words, template } = readDeployFile();
    const file = join(this.folder, `${name}.ini`);
    writeFileSync(file, fill(template, fields));
    const entry = { name, zone, ip, front, ready, file, words, isIn: false, misses: 0 };
    this.entries.push(entry);
    this.startEntry(entry);
    return entry;
  }

  /** Starts the process of an entry host; also after its end, with the same settings. */
  startEntry(entry) {
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, ...(LANG === undefined ? {} : { LANG }) };
    const [program, ...args] = entry.words;
    entry.child = spawn(program, args, {
      cwd: ROOT,
      env: { ...env, HINGESCALE_NODE_FILE: entry.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, `${entry.name}.log`), { flags: 'a' });
    entry.child.stdout.pipe(log, { end: false });
    entry.child.stderr.pipe(log, { end: false });
    entry.endedAt = undefined;
    entry.child.on('exit', () => {
      entry.endedAt = Date.now();
    });
  }

  /** Asks each entry host every second whether it is ready, as the platform's load balancer does. */
  startBalancer() {
    const ask = entry => {
      const request = httpRequest(
        { host: entry.ip, port: entry.ready, path: '/hingescale/ready', agent: false },
        response => {
          response.resume();
          note(entry, response.statusCode === 200);
        },
      );
      request.setTimeout(1_000, () => request.destroy(new Error('silent')));
      request.on('error', () => note(entry, false));
      request.end();
    };
    const note = (entry, isReady) => {
      entry.misses = isReady ? 0 : entry.misses + 1;
      entry.isIn = isReady || (entry.isIn && entry.misses < 2);
    };
    this.balancer = setInterval(() => this.entries.forEach(ask), 1_000);
  }

  /** The entry host for a new connection of a client; undefined while none is in. */
  entryFor(zone) {
    const all = this.entries.filter(({ isIn }) => isIn);
    const near = all.filter(entry => entry.zone === zone);
    const fit = near.length > 0 ? near : all;
    return fit[Math.floor(Math.random() * fit.length)];
  }

  async until(what, isReached, withinMs) {
    const end = Date.now() + withinMs;
    while (!isReached()) {
      if (Date.now() > end) {
        throw new Error(`did not happen within ${withinMs} ms: ${what}`);
      }
      await sleep(20);
    }
  }

  killAll() {
    clearInterval(this.balancer);
    this.entries.forEach(({ child }) => child?.kill('SIGKILL'));
    this.runners.forEach(({ child }) => child.kill('SIGKILL'));
  }

  async stop() {
    this.killAll();
    this.store.close();
    await sleep(200);
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}
