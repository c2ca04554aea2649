/** At most once for keyed requests: claims, settlements and handovers between gateways. */
import type { HashFunction, KeyOwner } from '@hingescale/core';
import { ownerOf } from '@hingescale/core';
import type { KeyGrant, LinkPool } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, newUuid, sleep, Task } from '@hingescale/runtime';

import type {
  ClaimReply,
  ClaimRequest,
  HandedCompleteness,
  HandedRecord,
  HandoverRequest,
  KeyOutcome,
  SettleRequest,
} from './key-messages.js';
import type { KeyName } from './key-name.js';
import { issueKeyName, parseKeyName } from './key-name.js';
import type { Ownership } from './key-ownership.js';
import { CLAIM_TIMEOUT_MS, KeyOwnership } from './key-ownership.js';
import { KeyRecords } from './key-records.js';

/** Options of the key task. */
export type KeyTaskOptions = {
  readonly instance: string;
  readonly failureDomain: string;
  readonly links: LinkPool;
  readonly hash: HashFunction;
  readonly keyMemoryMs: number;
  readonly clockSkewMs: number;
  readonly answerBytes: number;
  /** Failure domains over which keys are spread, in the order of the configuration. */
  readonly failureDomains: () => readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
};

/** A claim that was granted. */
export type GrantedClaim = {
  readonly name: KeyName;
  readonly request: ClaimRequest;
};

/** Rounds in which an unsure claim is asked again, while keys move between gateways. */
const CLAIM_ROUNDS = 8;
const CLAIM_PAUSE_MS = 150;
const SETTLE_ROUNDS = 20;
const SETTLE_PAUSE_MS = 500;
const HANDOVER_ROUNDS = 20;
const HANDOVER_PAUSE_MS = 250;
const HANDOVER_PART_BYTES = 1_000_000;
const RECORD_OVERHEAD = 300;

/** Owns this gateway's key records and its part in the key table. */
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

  /** Gateways of the failure domain that own keys. */
  get ownerCount(): number {
    return this.#ownership.table?.owners.length ?? 0;
  }

  /** True while the key table names this gateway. */
  get listed(): boolean {
    const owners = this.#ownership.table?.owners ?? [];
    return owners.some(owner => owner.instance === this.#options.instance);
  }

  /** Takes the key tables of a poll's answer; what is left of each counts from `sentAt`. */
  takeGrants(grants: readonly KeyGrant[], sentAt: number): void {
    for (const grant of grants) {
      this.#grants.set(grant.failureDomain, grant);
      if (grant.failureDomain === this.#options.failureDomain) {
        const until = sentAt + grant.remainingMs;
        if (this.#ownership.take(grant.table, until, monotonicMs())) {
          this.#handOver();
        }
      }
    }
  }

  /** Issues a key that has its home here; undefined while others could not find the way. */
  issue(): string | undefined {
    const { instance, failureDomain } = this.#options;
    const ready = this.listed && !this.#leaving;
    return ready ? issueKeyName(newUuid(), { failureDomain, instance }) : undefined;
  }

  /** Asks the owner of a key whether the request may run. */
  async claim(name: KeyName, request: ClaimRequest): Promise<ClaimReply> {
    let reply: ClaimReply = await this.#claimOnce(name, request);
    for (let round = 1; round < CLAIM_ROUNDS && worthAskingAgain(reply); round++) {
      await sleep(CLAIM_PAUSE_MS, this.signal);
      reply = await this.#claimOnce(name, request);
    }
    this.#options.metrics.count('key_claims_total', { result: reply.kind });
    return reply;
  }

  /** Tells the owner what became of a run; goes on trying for a while in the background. */
  async settle(name: KeyName, request: ClaimRequest, outcome: KeyOutcome): Promise<void> {
    const { workspace, key, claim } = request;
    const settlement: SettleRequest = { workspace, key, claim, outcome };
    if (!(await this.#settleOnce(name, settlement))) {
      const settling = this.#settleLater(name, settlement);
      this.#settling.add(settling);
      void settling.finally(() => this.#settling.delete(settling));
    }
  }

  /** Answers a claim of another gateway. */
  answerClaim(request: ClaimRequest): ClaimReply {
    const name = parseKeyName(request.key);
    if (name === undefined) {
      return {
        kind: 'unknown',
        detail: 'the key is malformed',
        retryAfterMs: 0,
      };
    }
    return this.#decide(name, request);
  }

  /** Takes a settlement; one for a key that moved is passed on. */
  async answerSettle(request: SettleRequest): Promise<void> {
    this.#records.settle(request);
    const name = parseKeyName(request.key);
    const judged = name && this.#ownership.judge(name, monotonicMs());
    if (judged?.kind === 'other') {
      const { links } = this.#options;
      await links.to(judged.owner.address).request(LINK_REQUESTS.settle, request, CLAIM_TIMEOUT_MS);
    }
  }

  /** Takes records from an earlier owner. */
  answerHandover(request: HandoverRequest): void {
    this.#records.takeOver(request.records);
    const { completeness, epoch, from } = request;
    if (completeness !== undefined) {
      this.#ownership.noteHandover(epoch, from, {
        knownSince: completeness.knownSince ?? -Infinity,
        homes: new Set(completeness.homes),
      });
    }
    this.#options.metrics.count('key_records_received_total', {}, request.records.length);
  }

  /** From now on issued keys are handed over too; call before the planned stop's last poll. */
  leave(): void {
    this.#leaving = true;
  }

  /** Resolves when all settlements that have begun are done or given up. */
  async settled(): Promise<void> {
    await Promise.all([...this.#settling]);
  }

  /** Resolves when all handovers that have begun are done or given up. */
  async handedOver(): Promise<void> {
    await Promise.all([...this.#handovers]);
  }

  async #claimOnce(name: KeyName, request: ClaimRequest): Promise<ClaimReply> {
    const domain = this.#domainOf(name);
    if (domain === this.#options.failureDomain) {
      const judged = this.#ownership.judge(name, monotonicMs());
      return judged.kind === 'other'
        ? this.#askOwner(judged.owner, request)
        : this.#decide(name, request);
    }
    const owner = this.#remoteOwner(domain, name);
    if (owner === undefined) {
      const detail = `no gateway of failure domain ${domain} is known`;
      return { kind: 'unknown', detail, retryAfterMs: 1_000 };
    }
    return this.#askOwner(owner, request);
  }

  async #askOwner(owner: KeyOwner, request: ClaimRequest): Promise<ClaimReply> {
    const { links, log } = this.#options;
    log.message('key', 'claim', { failureDomain: owner.failureDomain });
    try {
      const link = links.to(owner.address);
      return await link.request<ClaimReply>(LINK_REQUESTS.claim, request, CLAIM_TIMEOUT_MS);
    } catch (error) {
      const detail = `the key's gateway does not answer: ${(error as Error).message}`;
      return { kind: 'unknown', detail, retryAfterMs: 1_000 };
    }
  }

  #decide(name: KeyName, request: ClaimRequest): ClaimReply {
    const { keyMemoryMs, clockSkewMs } = this.#options;
    const wallMs = Date.now();
    if (name.time < wallMs - keyMemoryMs + clockSkewMs) {
      return { kind: 'too-old' };
    }
    const judged = this.#ownership.judge(name, monotonicMs());
    switch (judged.kind) {
      case 'own':
        return this.#leaving
          ? {
              kind: 'unknown',
              detail: 'the gateway is stopping',
              retryAfterMs: 300,
            }
          : this.#records.claim(request);
      case 'other':
        return {
          kind: 'unknown',
          detail: 'the key has moved',
          retryAfterMs: 300,
        };
      case 'unsure':
      case 'lost':
        // What has a record is known, whatever else is not.
        return this.#records.lookUp(request) ?? notKnown(judged);
    }
  }

  #domainOf(name: KeyName): string {
    const { failureDomains, hash, failureDomain } = this.#options;
    if (name.home !== undefined) {
      return name.home.failureDomain;
    }
    return ownerOf(name.text, failureDomains(), hash) ?? failureDomain;
  }

  #remoteOwner(domain: string, name: KeyName): KeyOwner | undefined {
    const table = this.#grants.get(domain)?.table;
    const home = table?.owners.find(owner => owner.instance === name.home?.instance);
    return table === undefined ? undefined : (home ?? this.#ownership.ownerIn(table, name.text));
  }

  async #settleOnce(name: KeyName, request: SettleRequest): Promise<boolean> {
    const domain = this.#domainOf(name);
    const judged =
      domain === this.#options.failureDomain
        ? this.#ownership.judge(name, monotonicMs())
        : undefined;
    const owner = judged?.kind === 'other' ? judged.owner : undefined;
    const target = judged === undefined ? this.#remoteOwner(domain, name) : owner;
    if (target === undefined) {
      this.#records.settle(request);
      return judged !== undefined;
    }
    try {
      const link = this.#options.links.to(target.address);
      await link.request(LINK_REQUESTS.settle, request, CLAIM_TIMEOUT_MS);
      return true;
    } catch {
      return false;
    }
  }

  async #settleLater(name: KeyName, request: SettleRequest): Promise<void> {
    for (let round = 0; round < SETTLE_ROUNDS && !this.stopped; round++) {
      await sleep(SETTLE_PAUSE_MS, this.signal);
      if (await this.#settleOnce(name, request)) {
        return;
      }
    }
    this.#options.metrics.count('key_settlements_lost_total');
  }

  // Every other owner gets a handover, an empty one too: it says that nothing was left out.
  #handOver(): void {
    const table = this.#ownership.table;
    if (table === undefined || !this.#ownership.ownedBefore) {
      return;
    }
    const { instance, log } = this.#options;
    for (const owner of table.owners) {
      if (owner.instance === instance) {
        continue;
      }
      const records = this.#records.handOver(key => this.#movesTo(owner, key));
      log.message('key', 'handover');
      const sending = this.#sendHandover(owner, table.epoch, records);
      this.#handovers.add(sending);
      void sending.finally(() => this.#handovers.delete(sending));
    }
  }

  #completeness(): HandedCompleteness {
    const { knownSince, homes } = this.#ownership.completeness;
    const left = this.#leaving && !this.listed ? [this.#options.instance] : [];
    return {
      knownSince: Number.isFinite(knownSince) ? knownSince : undefined,
      homes: [...homes, ...left],
    };
  }

  #movesTo(owner: KeyOwner, key: string): boolean {
    const table = this.#ownership.table;
    const name = parseKeyName(key);
    if (table === undefined || name === undefined) {
      return false;
    }
    const issuedHere = name.home?.instance === this.#options.instance;
    if (issuedHere && !this.#leaving) {
      return false;
    }
    return this.#ownership.ownerIn(table, key)?.instance === owner.instance;
  }

  // Only the last part says how complete it all is, so that a handover cut short says nothing.
  async #sendHandover(
    owner: KeyOwner,
    epoch: number,
    records: readonly HandedRecord[],
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
    for (let round = 0; round < HANDOVER_ROUNDS && !this.stopped; round++) {
      try {
        const link = this.#options.links.to(owner.address);
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

/** Splits records into parts that fit into a frame; at least one part, maybe empty. */
function splitRecords(records: readonly HandedRecord[]): HandedRecord[][] {
  const parts: HandedRecord[][] = [[]];
  let size = 0;
  for (const record of records) {
    const recordSize = RECORD_OVERHEAD + (record.answer?.body.length ?? 0);
    if (size + recordSize > HANDOVER_PART_BYTES && size > 0) {
      parts.push([]);
      size = 0;
    }
    parts[parts.length - 1].push(record);
    size += recordSize;
  }
  return parts;
}

function notKnown(judged: Exclude<Ownership, { kind: 'own' | 'other' }>): ClaimReply {
  const retryAfterMs = judged.kind === 'unsure' ? judged.retryAfterMs : 0;
  return { kind: 'unknown', detail: judged.detail, retryAfterMs };
}

function worthAskingAgain(reply: ClaimReply): boolean {
  return reply.kind === 'unknown' && reply.retryAfterMs > 0;
}
