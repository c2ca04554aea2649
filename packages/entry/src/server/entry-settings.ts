/** Settings of an entry host, read from an INI text. All problems in the text are reported together. */
import { parse } from 'ini';

import type { MachineSettings } from './caller-resources.js';

/** An IP address and port to listen at or connect to. */
export type SocketAddress = { readonly ip: string; readonly port: number };

/** Bounds that the system keeps. Fields whose names end in `Ms` are in milliseconds. */
export type EntryBounds = {
  /** Time after which an acknowledged configuration has to be in force. */
  readonly configurationApplyMs: number;
  /** Longest time for which a revoked key is still honoured. */
  readonly keyRevocationMs: number;
  /** Whether requests with keys are refused while the configuration is not confirmed. */
  readonly keysFailClosed: boolean;
  /** Longest duration of a planned stop. */
  readonly graceMs: number;
  /** Time after which a replica group with a lost member is considered broken. */
  readonly stallMs: number;
  /** Period at which hosts renew their entries in the store. */
  readonly heartbeatMs: number;
  /** Most retries per request, over all entry hosts. */
  readonly retryRatio: number;
  /** Window in which retries and requests are counted. */
  readonly retryWindowMs: number;
  /** Retries in such a window that are allowed in addition. */
  readonly retrySlack: number;
  /** Window in which loads from the weight store are counted. */
  readonly loadWindowMs: number;
  /**
   * Time after which nothing new may reach an evacuated failure domain, in milliseconds; undefined if evacuations are
   * not followed.
   */
  readonly evacuationMs: number | undefined;
  /** Arrivals per second that are allowed at a cold host, as a multiple of its rate. */
  readonly coldOvershoot: number;
  /** Arrivals per second at a cold host that are allowed in addition. */
  readonly coldSlack: number;
  /** Window for counting arrivals at a host that has reported a rate limit in requests per second. */
  readonly limitWindowMs: number;
  /** Arrivals in such a window that are allowed, as a multiple of the rate limit's allowance. */
  readonly limitOvershoot: number;
  /** Arrivals in such a window that are allowed in addition. */
  readonly limitSlack: number;
};

/** How this entry host and its peers reach each other. */
export type PeerSettings = {
  readonly listen: SocketAddress;
  /** Where this host accepts requests that peers forward; undefined if it accepts none and forwards none. */
  readonly forwarding: SocketAddress | undefined;
  /** Addresses (`ip:port`) of some peers, which may no longer exist. */
  readonly seeds: readonly string[];
  /** Secret key that all entry hosts share; empty if the network is trusted. */
  readonly key: string;
  /** Processor power of this host, in cores; stronger hosts follow the store for others. */
  readonly power: number;
};

/** The region that a failure domain lies in. */
export type DomainRegion = { readonly failureDomain: string; readonly region: string };

/** Settings of an entry host. */
export type EntrySettings = {
  readonly name: string;
  readonly failureDomain: string;
  readonly machine: MachineSettings;
  /** Declared regions of failure domains; a failure domain may have none. */
  readonly regions: readonly DomainRegion[];
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly metrics: SocketAddress | undefined;
  readonly store: SocketAddress;
  /** Undefined if this host has no peers and follows only the store. */
  readonly peers: PeerSettings | undefined;
  readonly bounds: EntryBounds;
};

/** One problem in the settings. */
export type SettingFinding = {
  readonly section: string;
  readonly key: string;
  readonly message: string;
};

/** Thrown for invalid settings; holds all findings. */
export class SettingsError extends Error {
  readonly reason = 'invalid-settings';
  readonly findings: readonly SettingFinding[];

  constructor(findings: readonly SettingFinding[]) {
    const lines = findings.map(
      finding => `[${finding.section}] ${finding.key}: ${finding.message}`,
    );
    super(`settings cannot be used:\n${lines.join('\n')}`);
    this.name = 'SettingsError';
    this.findings = findings;
  }
}

const MS_PER_S = 1_000;
/** Memory and descriptors of a host whose settings do not name them: those of a small one. */
const DEFAULT_MEMORY_MB = 250;
const DEFAULT_DESCRIPTORS = 4_096;

/** Reads settings; throws {@link SettingsError} if any are invalid. Unknown keys are ignored. */
export function readEntrySettings(text: string): EntrySettings {
  const reader = new SettingsReader(parse(text));
  const settings: EntrySettings = {
    name: reader.text('entry', 'name'),
    failureDomain: reader.text('entry', 'failure-domain'),
    machine: {
      memoryMb: reader.positive('host', 'memory-mb', DEFAULT_MEMORY_MB),
      descriptors: reader.positive('host', 'descriptors', DEFAULT_DESCRIPTORS),
    },
    regions: readRegions(reader),
    callers: reader.address('listen', 'callers'),
    readiness: reader.address('listen', 'readiness'),
    metrics: reader.has('listen', 'metrics') ? reader.address('listen', 'metrics') : undefined,
    store: reader.address('store', 'address'),
    peers: reader.has('peers', 'listen') ? readPeers(reader) : undefined,
    bounds: {
      configurationApplyMs: reader.positive('bounds', 'configuration-apply-ms', 2_000),
      keyRevocationMs: reader.number('bounds', 'key-revocation-ms', 5_000),
      keysFailClosed: reader.flag('bounds', 'keys-fail-closed', true),
      graceMs: reader.number('bounds', 'grace-s', 8) * MS_PER_S,
      stallMs: reader.number('bounds', 'stall-ms', 5_000),
      heartbeatMs: reader.number('bounds', 'heartbeat-ms', 1_200),
      retryRatio: reader.number('bounds', 'retry-ratio', 0.1),
      retryWindowMs: reader.number('bounds', 'retry-window-s', 10) * MS_PER_S,
      retrySlack: reader.number('bounds', 'retry-slack', 20),
      loadWindowMs: reader.number('bounds', 'load-window-s', 5) * MS_PER_S,
      evacuationMs: reader.has('bounds', 'evacuation-ms')
        ? reader.positive('bounds', 'evacuation-ms', 0)
        : undefined,
      coldOvershoot: reader.number('bounds', 'cold-overshoot', 1),
      coldSlack: reader.number('bounds', 'cold-slack', 0),
      limitWindowMs: reader.positive('bounds', 'limit-window-ms', 4_000),
      limitOvershoot: reader.number('bounds', 'limit-overshoot', 1),
      limitSlack: reader.number('bounds', 'limit-slack', 1),
    },
  };
  if (reader.findings.length > 0) {
    throw new SettingsError(reader.findings);
  }
  return settings;
}

// Region names are checked strictly: a host without a region receives no requests that have home regions, so a
// typing error here would cause requests to be refused.
function readRegions(reader: SettingsReader): readonly DomainRegion[] {
  return reader
    .keysOf('regions')
    .map(failureDomain => ({ failureDomain, region: reader.name('regions', failureDomain) }));
}

function readPeers(reader: SettingsReader): PeerSettings {
  return {
    listen: reader.address('peers', 'listen'),
    forwarding: reader.has('peers', 'forwarding')
      ? reader.address('peers', 'forwarding')
      : undefined,
    seeds: reader.list('peers', 'seeds'),
    key: reader.has('peers', 'key') ? reader.text('peers', 'key') : '',
    power: reader.number('host', 'processor-share', 1) * reader.number('host', 'processors', 1),
  };
}

/** Reads single values and collects findings for missing or invalid ones. */
class SettingsReader {
  readonly findings: SettingFinding[] = [];
  readonly #sections: Readonly<Record<string, unknown>>;

  constructor(sections: Readonly<Record<string, unknown>>) {
    this.#sections = sections;
  }

  has(section: string, key: string): boolean {
    return this.#value(section, key) !== undefined;
  }

  text(section: string, key: string): string {
    const value = this.#value(section, key);
    if (value === undefined) {
      this.#addFinding(section, key, 'is missing');
    }
    return value ?? '';
  }

  /** Reads a single name. A key without a value is parsed as `true`, a repeated key as several values. */
  name(section: string, key: string): string {
    const value = this.text(section, key);
    if (value === 'true' || /[\s,]/.test(value)) {
      this.#addFinding(section, key, `must be one name, is '${value}'`);
    }
    return value;
  }

  number(section: string, key: string, defaultValue: number): number {
    const value = this.#value(section, key);
    if (value === undefined) {
      return defaultValue;
    }
    const parsed = Number(value);
    if (!Number.isFinite(parsed) || parsed < 0) {
      this.#addFinding(section, key, `must be a number of 0 or more, is '${value}'`);
    }
    return parsed;
  }

  positive(section: string, key: string, defaultValue: number): number {
    const value = this.number(section, key, defaultValue);
    if (value === 0) {
      this.#addFinding(section, key, 'must be greater than 0');
    }
    return value;
  }

  flag(section: string, key: string, defaultValue: boolean): boolean {
    const value = this.#value(section, key);
    if (value === undefined) {
      return defaultValue;
    }
    if (value !== 'true' && value !== 'false') {
      this.#addFinding(section, key, `must be true or false, is '${value}'`);
    }
    return value === 'true';
  }

  list(section: string, key: string): readonly string[] {
    const value = this.#value(section, key) ?? '';
    return value
      .split(',')
      .map(entry => entry.trim())
      .filter(entry => entry !== '');
  }

  /** Returns the keys of a section; none if it is absent. */
  keysOf(section: string): readonly string[] {
    const values = this.#sections[section] ?? {};
    if (typeof values !== 'object') {
      this.#addFinding(section, '*', `must be a section, is '${String(values as string)}'`);
      return [];
    }
    return Object.keys(values);
  }

  address(section: string, key: string): SocketAddress {
    const value = this.text(section, key);
    const colon = value.lastIndexOf(':');
    const port = Number(value.slice(colon + 1));
    if (value !== '' && (colon <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535)) {
      this.#addFinding(section, key, `must be IP:PORT, is '${value}'`);
    }
    return { ip: value.slice(0, colon), port };
  }

  #value(section: string, key: string): string | undefined {
    const values = this.#sections[section] as Readonly<Record<string, unknown>> | undefined;
    const value = values?.[key];
    return value === undefined || value === '' ? undefined : String(value as string | boolean);
  }

  #addFinding(section: string, key: string, message: string): void {
    this.findings.push({ section, key, message });
  }
}
