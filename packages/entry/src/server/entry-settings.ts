/** Settings of an entry host: an INI text, checked whole; all findings are reported together. */
import { parse } from 'ini';

/** An address to listen at or to call. */
export type SocketAddress = { readonly ip: string; readonly port: number };

/** Bounds that the system keeps, in milliseconds where not said otherwise. */
export type EntryBounds = {
  /** A key that was taken away is not honoured later than this. */
  readonly keyRevocationMs: number;
  /** Requests with keys are refused while the configuration is not confirmed. */
  readonly keysFailClosed: boolean;
  /** Time in which a planned stop ends. */
  readonly graceMs: number;
  /** Time after which a group with a lost member is broken. */
  readonly stallMs: number;
  /** Period in which hosts renew their entries. */
  readonly heartbeatMs: number;
  /** Repeats per request, over all entry hosts. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Window in which loads from the weight store are counted. */
  readonly loadWindowMs: number;
  /**
   * Time after which nothing new may reach an evacuated failure domain, in milliseconds; undefined:
   * evacuations are not followed. Only whether it is defined matters here: the limits in the code keep it.
   */
  readonly evacuationMs: number | undefined;
  /** Arrivals in a second that are allowed at a cold host, as a multiple of its rate. */
  readonly coldOvershoot: number;
  /** Arrivals in a second at a cold host that are allowed in addition. */
  readonly coldSlack: number;
  /** Window in which arrivals at a host that has named a limit of requests a second are counted. */
  readonly limitWindowMs: number;
  /** Arrivals in such a window that are allowed, as a multiple of what the limit gives. */
  readonly limitOvershoot: number;
  /** Arrivals in such a window that are allowed in addition. */
  readonly limitSlack: number;
};

/** How entry hosts reach each other. */
export type PeerSettings = {
  readonly listen: SocketAddress;
  /** Addresses (`ip:port`) of some peers; they may be gone. */
  readonly seeds: readonly string[];
  /** Shared by all entry hosts; empty where the network is trusted. */
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
  /** Regions of failure domains, as far as they are declared. */
  readonly regions: readonly DomainRegion[];
  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly metrics: SocketAddress | undefined;
  readonly store: SocketAddress;
  /** Undefined: this host follows the store alone. */
  readonly peers: PeerSettings | undefined;
  readonly bounds: EntryBounds;
};

/** One problem in the settings. */
export type SettingFinding = {
  readonly section: string;
  readonly key: string;
  readonly message: string;
};

/** Settings that can not be used, with all findings. */
export class SettingsError extends Error {
  readonly reason = 'invalid-settings';
  readonly findings: readonly SettingFinding[];

  constructor(findings: readonly SettingFinding[]) {
    const lines = findings.map(
      finding => `[${finding.section}] ${finding.key}: ${finding.message}`,
    );
    super(`settings can not be used:\n${lines.join('\n')}`);
    this.name = 'SettingsError';
    this.findings = findings;
  }
}

const MS_PER_S = 1_000;

/** Reads settings; throws {@link SettingsError}. Unknown keys are passed over. */
export function readEntrySettings(text: string): EntrySettings {
  const reader = new SettingsReader(parse(text));
  const settings: EntrySettings = {
    name: reader.text('entry', 'name'),
    failureDomain: reader.text('entry', 'failure-domain'),
    regions: readRegions(reader),
    callers: reader.address('listen', 'callers'),
    readiness: reader.address('listen', 'readiness'),
    metrics: reader.has('listen', 'metrics') ? reader.address('listen', 'metrics') : undefined,
    store: reader.address('store', 'address'),
    peers: reader.has('peers', 'listen') ? readPeers(reader) : undefined,
    bounds: {
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
        ? reader.number('bounds', 'evacuation-ms', 0)
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

// Checked strictly: a host without a region takes no requests with home regions, so a typing error here
// would have requests refused.
function readRegions(reader: SettingsReader): readonly DomainRegion[] {
  return reader
    .keysOf('regions')
    .map(failureDomain => ({ failureDomain, region: reader.name('regions', failureDomain) }));
}

function readPeers(reader: SettingsReader): PeerSettings {
  return {
    listen: reader.address('peers', 'listen'),
    seeds: reader.list('peers', 'seeds'),
    key: reader.has('peers', 'key') ? reader.text('peers', 'key') : '',
    power: reader.number('host', 'processor-share', 1) * reader.number('host', 'processors', 1),
  };
}

/** Reads values and collects what is wrong with them. */
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
      this.#find(section, key, 'is missing');
    }
    return value ?? '';
  }

  /** A text that is one name: a key without a value reads as `true`, a repeated one as several. */
  name(section: string, key: string): string {
    const value = this.text(section, key);
    if (value === 'true' || /[\s,]/.test(value)) {
      this.#find(section, key, `must be one name, is '${value}'`);
    }
    return value;
  }

  number(section: string, key: string, whenAbsent: number): number {
    const value = this.#value(section, key);
    if (value === undefined) {
      return whenAbsent;
    }
    const parsed = Number(value);
    if (!Number.isFinite(parsed) || parsed < 0) {
      this.#find(section, key, `must be a number of 0 or more, is '${value}'`);
    }
    return parsed;
  }

  positive(section: string, key: string, whenAbsent: number): number {
    const value = this.number(section, key, whenAbsent);
    if (value === 0) {
      this.#find(section, key, 'must be greater than 0');
    }
    return value;
  }

  flag(section: string, key: string, whenAbsent: boolean): boolean {
    const value = this.#value(section, key);
    if (value === undefined) {
      return whenAbsent;
    }
    if (value !== 'true' && value !== 'false') {
      this.#find(section, key, `must be true or false, is '${value}'`);
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

  /** The keys that a section has. */
  keysOf(section: string): readonly string[] {
    const values = this.#sections[section] ?? {};
    if (typeof values !== 'object') {
      this.#find(section, '*', `must be a section, is '${String(values as string)}'`);
      return [];
    }
    return Object.keys(values);
  }

  address(section: string, key: string): SocketAddress {
    const value = this.text(section, key);
    const colon = value.lastIndexOf(':');
    const port = Number(value.slice(colon + 1));
    if (value !== '' && (colon <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535)) {
      this.#find(section, key, `must be IP:PORT, is '${value}'`);
    }
    return { ip: value.slice(0, colon), port };
  }

  #value(section: string, key: string): string | undefined {
    const values = this.#sections[section] as Readonly<Record<string, unknown>> | undefined;
    const value = values?.[key];
    return value === undefined || value === '' ? undefined : String(value as string | boolean);
  }

  #find(section: string, key: string, message: string): void {
    this.findings.push({ section, key, message });
  }
}
