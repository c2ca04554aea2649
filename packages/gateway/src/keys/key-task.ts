/** Runs each keyed request at most once, by claims, settlements and handovers between gateways. */
import type { HashFunction, KeyOwner } from '@hingescale/core';
import { ownerOf } from '@hingescale/core';
import type { KeyGrant, LinkPool } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, newUuid, sleep, Task } from '@hingescale/runtime';

import type {
  ClaimReply,
  ClaimRequest,
  HandoverCompleteness,
  HandoverRecord,
  HandoverRequest,
  KeyOutcome,
  SettleRequest,
} from './key-messages.js';
import type { Ownership } from './key-ownership.js';
import { CLAIM_TIMEOUT_MS, KeyOwnership } from './key-ownership.js';
import { KeyRecords } from './key-records.js';
import type { ParsedKey } from './parsed-key.js';
import { formatIssuedKey, parseKey } from './parsed-key.js';

/** Settings and collaborators of a `KeyTask`. */
export type KeyTaskOptions = {
  /** Id of this gateway. */
  readonly instance: string;
  readonly failureDomain: string;
  readonly links: LinkPool;
  readonly hash: HashFunction;
  /** Age at which a key is refused as too old, in milliseconds; the clock skew is subtracted from it. */
  readonly keyMemoryMs: number;
  readonly clockSkewMs: number;
  /** Limit on the stored answers, in bytes. */
  readonly answerBytes: number;
  /** Failure domains among which keys are distributed, in the order of the configuration. */
  readonly failureDomains: () => readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
};

/** A claim that the owner granted. */
export type GrantedClaim = {
  readonly name: ParsedKey;
  readonly request: ClaimRequest;
};

/** Attempts at a claim that cannot be decided yet, for example while keys move between gateways. */
const CLAIM_ATTEMPTS = 8;
const CLAIM_PAUSE_MS = 150;
const SETTLE_ATTEMPTS = 20;
const SETTLE_PAUSE_MS = 500;
const HANDOVER_ATTEMPTS = 20;
const HANDOVER_PAUSE_MS = 250;
const HANDOVER_PART_BYTES = 1_000_000;
/** Estimated size of a record without the body of its answer, in bytes. */
const RECORD_OVERHEAD_BYTES = 300;
/** Retry delay while the owner is unknown or unreachable, in milliseconds. */
const OWNER_RETRY_MS = 1_000;
/** Retry delay while keys move to another gateway, in milliseconds. */
const KEY_MOVE_RETRY_MS = 300;

/** Keeps this gateway's key records, and claims and settles keys at their owners. */
export class KeyTask extends Task<Record<never, never>> {
  readonly #options: KeyTaskOptions;
  readonly #records: KeyRecords;
  readonly #ownership: KeyOwnership;
  readonly #grants = new Map<string, KeyGrant>();
  readonly #handovers = new Set<Promise<void>>();
  readonly #settling = new Set<Promise<void>>();
  #leaving = false;

  constructor(options: KeyTaskOptions) {
    super();
    this.#options = options;
    const { keyMemoryMs, clockSkewMs, answerBytes } = options;
    this.#records = new KeyRecords({
      keepMs: keyMemoryMs + 2 * clockSkewMs,
      answerBytes,
    });
    this.#ownership = new KeyOwnership(options);
  }

  /** Number of records kept here. */
  get recordCount(): number {
    return this.#records.size;
  }

  /** Number of gateways in the failure domain that own keys. */
  get ownerCount(): number {
    return this.#ownership.table?.owners.length ?? 0;
  }

  /** True while the key table lists this gateway as an owner. */
  get isKeyOwner(): boolean {
    const owners = this.#ownership.table?.owners ?? [];
    return owners.some(owner => owner.instance === this.#options.instance);
  }

  /** Applies the key tables of a poll reply; their remaining times count from `sentAt` (monotonic milliseconds). */
  applyGrants(grants: readonly KeyGrant[], sentAt: number): void {
    for (const grant of grants) {
      this.#grants.set(grant.failureDomain, grant);
      if (grant.failureDomain === this.#options.failureDomain) {
        const confirmedUntil = sentAt + grant.remainingMs;
        if (this.#ownership.applyTable(grant.table, confirmedUntil, monotonicMs())) {
          this.#startHandovers();
        }
      }
    }
  }

  /** Issues a key whose home is this gateway; undefined unless the key table lists it and it is not leaving. */
  issueKey(): string | undefined {
    const { instance, failureDomain } = this.#options;
    const ready = this.isKeyOwner && !this.#leaving;
    return ready ? formatIssuedKey(newUuid(), { failureDomain, instance }) : undefined;
  }

  /** Asks the owner of a key whether the request may run; retries while that cannot be decided. */
  async claim(name: ParsedKey, request: ClaimRequest): Promise<ClaimReply> {
    let reply: ClaimReply = await this.#claimOnce(name, request);
    for (let attempt = 1; attempt < CLAIM_ATTEMPTS && isRetryable(reply); attempt++) {
      await sleep(CLAIM_PAUSE_MS, this.signal);
      reply = await this.#claimOnce(name, request);
    }
    this.#options.metrics.count('key_claims_total', { result: reply.kind });
    return reply;
  }

  /** Reports the outcome of a run to the owner; after a failure it retries in the background. */
  async settle(name: ParsedKey, request: ClaimRequest, outcome: KeyOutcome): Promise<void> {
    const { workspace, key, claim } = request;
    const settlement: SettleRequest = { workspace, key, claim, outcome };
    if (!(await this.#settleOnce(name, settlement))) {
      const settling = this.#settleLater(name, settlement);
      this.#settling.add(settling);
      void settling.finally(() => this.#settling.delete(settling));
    }
  }

  /** Answers a claim from another gateway. */
  answerClaim(request: ClaimRequest): ClaimReply {
    const name = parseKey(request.key);
    if (name === undefined) {
      return {
        kind: 'unknown',
        detail: 'the key is malformed',
        retryAfterMs: 0,
      };
    }
    return this.#decide(name, request);
  }

  /** Applies a settlement; forwards it to the owner if the key has moved. */
  async answerSettle(request: SettleRequest): Promise<void> {
    this.#records.settle(request);
    const name = parseKey(request.key);
    const ownership = name && this.#ownership.checkOwnership(name, monotonicMs());
    if (ownership?.kind === 'other') {
      const { links } = this.#options;
      await links
        .clientFor(ownership.owner.address)
        .request(LINK_REQUESTS.settle, request, CLAIM_TIMEOUT_MS);
    }
  }

  /** Adds the records that an earlier owner hands over. */
  answerHandover(request: HandoverRequest): void {
    this.#records.importRecords(request.records);
    const { completeness, epoch, from } = request;
    if (completeness !== undefined) {
      this.#ownership.recordHandover(epoch, from, {
        knownSince: completeness.knownSince ?? -Infinity,
        homes: new Set(completeness.homes),
      });
    }
    this.#options.metrics.count('key_records_received_total', {}, request.records.length);
  }

  /** Hands over issued keys too from now on. Call it before the last poll of a planned stop. */
  startLeaving(): void {
    this.#leaving = true;
  }

  /** Resolves when all settlements that were started have succeeded or been given up. */
  async settlementsDone(): Promise<void> {
    await Promise.all([...this.#settling]);
  }

  /** Resolves when all handovers that were started have succeeded or been given up. */
  async handoversDone(): Promise<void> {
    await Promise.all([...this.#handovers]);
  }

  async #claimOnce(name: ParsedKey, request: ClaimRequest): Promise<ClaimReply> {
    const domain = this.#ownerDomainOf(name);
    if (domain === this.#options.failureDomain) {
      const ownership = this.#ownership.checkOwnership(name, monotonicMs());
      return ownership.kind === 'other'
        ? this.#askOwner(ownership.owner, request)
        : this.#decide(name, request);
    }
    const owner = this.#remoteOwner(domain, name);
    if (owner === undefined) {
      const detail = `no gateway of failure domain ${domain} is known`;
      return { kind: 'unknown', detail, retryAfterMs: OWNER_RETRY_MS };
    }
    return this.#askOwner(owner, request);
  }

  async #askOwner(owner: KeyOwner, request: ClaimRequest): Promise<ClaimReply> {
    const { links, log } = this.#options;
    log.message('key', 'claim', { failureDomain: owner.failureDomain });
    try {
      const link = links.clientFor(owner.address);
      return await link.request<ClaimReply>(LINK_REQUESTS.claim, request, CLAIM_TIMEOUT_MS);
    } catch (error) {
      const detail = `the key's gateway does not answer: ${(error as Error).message}`;
      return { kind: 'unknown', detail, retryAfterMs: OWNER_RETRY_MS };
    }
  }

  #decide(name: ParsedKey, request: ClaimRequest): ClaimReply {
    const { keyMemoryMs, clockSkewMs } = this.#options;
    const wallMs = Date.now();
    if (name.time < wallMs - keyMemoryMs + clockSkewMs) {
      return { kind: 'too-old' };
    }
    const ownership = this.#ownership.checkOwnership(name, monotonicMs());
    switch (ownership.kind) {
      case 'own':
        return this.#leaving
          ? {
              kind: 'unknown',
              detail: 'the gateway is stopping',
              retryAfterMs: KEY_MOVE_RETRY_MS,
            }
          : this.#records.claim(request);
      case 'other':
        return {
          kind: 'unknown',
          detail: 'the key has moved',
          retryAfterMs: KEY_MOVE_RETRY_MS,
        };
      case 'unsure':
      case 'lost':
        // An existing record is valid even if the records as a whole are incomplete.
        return this.#records.replyFromRecord(request) ?? unknownReply(ownership);
    }
  }

  #ownerDomainOf(name: ParsedKey): string {
    const { failureDomains, hash, failureDomain } = this.#options;
    if (name.home !== undefined) {
      return name.home.failureDomain;
    }
    return ownerOf(name.text, failureDomains(), hash) ?? failureDomain;
  }

  #remoteOwner(domain: string, name: ParsedKey): KeyOwner | undefined {
    const table = this.#grants.get(domain)?.table;
    const home = table?.owners.find(owner => owner.instance === name.home?.instance);
    return table === undefined
      ? undefined
      : (home ?? this.#ownership.ownerByHash(table, name.text));
  }

  async #settleOnce(name: ParsedKey, request: SettleRequest): Promise<boolean> {
    const domain = this.#ownerDomainOf(name);
    const ownership =
      domain === this.#options.failureDomain
        ? this.#ownership.checkOwnership(name, monotonicMs())
        : undefined;
    const owner = ownership?.kind === 'other' ? ownership.owner : undefined;
    const target = ownership === undefined ? this.#remoteOwner(domain, name) : owner;
    if (target === undefined) {
      this.#records.settle(request);
      return ownership !== undefined;
    }
    try {
      const link = this.#options.links.clientFor(target.address);
      await link.request(LINK_REQUESTS.settle, request, CLAIM_TIMEOUT_MS);
      return true;
    } catch {
      return false;
    }
  }

  async #settleLater(name: ParsedKey, request: SettleRequest): Promise<void> {
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS && !this.stopped; attempt++) {
      await sleep(SETTLE_PAUSE_MS, this.signal);
      if (await this.#settleOnce(name, request)) {
        return;
      }
    }
    this.#options.metrics.count('key_settlements_lost_total');
  }

  // Every other owner is sent a handover, even an empty one: it states that no record was left out.
  #startHandovers(): void {
    const table = this.#ownership.table;
    if (table === undefined || !this.#ownership.ownedInPreviousEpoch) {
      return;
    }
    const { instance, log } = this.#options;
    for (const owner of table.owners) {
      if (owner.instance === instance) {
        continue;
      }
      const records = this.#records.exportRecords(key => this.#movesTo(owner, key));
      log.message('key', 'handover');
      const sending = this.#sendHandover(owner, table.epoch, records);
      this.#handovers.add(sending);
      void sending.finally(() => this.#handovers.delete(sending));
    }
  }

  #completeness(): HandoverCompleteness {
    const { knownSince, homes } = this.#ownership.completeness;
    const departed = this.#leaving && !this.isKeyOwner ? [this.#options.instance] : [];
    return {
      knownSince: Number.isFinite(knownSince) ? knownSince : undefined,
      homes: [...homes, ...departed],
    };
  }

  #movesTo(owner: KeyOwner, key: string): boolean {
    const table = this.#ownership.table;
    const name = parseKey(key);
    if (table === undefined || name === undefined) {
      return false;
    }
    const issuedHere = name.home?.instance === this.#options.instance;
    if (issuedHere && !this.#leaving) {
      return false;
    }
    return this.#ownership.ownerByHash(table, key)?.instance === owner.instance;
  }

  // Only the last part carries the completeness, so that an interrupted handover claims none.
  async #sendHandover(
    owner: KeyOwner,
    epoch: number,
    records: readonly HandoverRecord[],
  ): Promise<void> {
    const from = this.#options.instance;
    const completeness = this.#completeness();
    const parts = splitRecords(records);
    for (const part of parts.slice(0, -1)) {
      const request = { from, epoch, records: part, completeness: undefined };
      if (!(await this.#sendPart(owner, request))) {
        return;
      }
    }
    await this.#sendPart(owner, { from, epoch, records: parts[parts.length - 1], completeness });
  }

  async #sendPart(owner: KeyOwner, request: HandoverRequest): Promise<boolean> {
    for (let attempt = 0; attempt < HANDOVER_ATTEMPTS && !this.stopped; attempt++) {
      try {
        const link = this.#options.links.clientFor(owner.address);
        await link.request(LINK_REQUESTS.handover, request, CLAIM_TIMEOUT_MS * 2);
        return true;
      } catch {
        await sleep(HANDOVER_PAUSE_MS, this.signal);
      }
    }
    this.#options.metrics.count('key_handovers_failed_total');
    return false;
  }
}

/** Splits records into parts that fit into a frame; returns at least one part, which may be empty. */
function splitRecords(records: readonly HandoverRecord[]): HandoverRecord[][] {
  const parts: HandoverRecord[][] = [[]];
  let size = 0;
  for (const record of records) {
    const recordSize = RECORD_OVERHEAD_BYTES + (record.answer?.body.length ?? 0);
    if (size + recordSize > HANDOVER_PART_BYTES && size > 0) {
      parts.push([]);
      size = 0;
    }
    parts[parts.length - 1].push(record);
    size += recordSize;
  }
  return parts;
}

function unknownReply(ownership: Exclude<Ownership, { kind: 'own' | 'other' }>): ClaimReply {
  const retryAfterMs = ownership.kind === 'unsure' ? ownership.retryAfterMs : 0;
  return { kind: 'unknown', detail: ownership.detail, retryAfterMs };
}

function isRetryable(reply: ClaimReply): boolean {
  return reply.kind === 'unknown' && reply.retryAfterMs > 0;
}
