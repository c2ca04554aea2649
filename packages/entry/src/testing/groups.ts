/** Hosts and known states for tests of the lease holder's decisions. */
import type { KnownGroupState } from '../groups/known-group-state.js';
import type { HostEntry, HostParseResult } from '../hosts/host-entry.js';

/** Creates an accepting host with a loaded model and no group; `change` overrides fields. */
export function testHost(id: string, change: Partial<HostEntry> = {}): HostEntry {
  return {
    id,
    service: 'lm',
    ip: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    accepting: true,
    fabricDomain: 'd0',
    stagedModels: [],
    loadedModel: 'm',
    lastModel: 'm',
    membership: undefined,
    coldLeftMs: 0,
    ...change,
  };
}

/** Creates the reading of a valid host entry. */
export function testHostReading(entry: HostEntry): HostParseResult {
  return { kind: 'host', entry };
}

/** Creates the known state of a lease holder that has observed nothing yet; `change` overrides fields. */
export function testKnownState(change: Partial<KnownGroupState> = {}): KnownGroupState {
  return {
    formations: new Map(),
    dissolving: new Map(),
    stagings: new Map(),
    heads: new Map(),
    incompleteSince: new Map(),
    unresponsiveHosts: new Map(),
    slowHosts: new Set(),
    recoveredHosts: new Set(),
    unlistedHosts: new Map(),
    hostsBeingProbed: [],
    entriesMayReturn: false,
    lapsedDomains: new Set(),
    evacuatedDomains: new Set(),
    isReturning: false,
    busyHosts: new Set(),
    loadsLeft: 10,
    ...change,
  };
}
