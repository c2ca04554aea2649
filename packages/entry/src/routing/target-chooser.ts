/** Chooses the target of a request: the head of a replica group, or a host of a plain service. */
import type { Service } from '../configuration/serving-configuration.js';
import { declaresModel } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import { collectReplicaGroups, headState } from '../groups/replica-groups.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { SendPace } from '../rate-limits/paced-sends.js';
import { monotonicMs } from '../server/time.js';
import type { Eligibility, HomeRegions } from './eligibility.js';
import { isPaced } from './eligibility.js';
import type { HostActivities } from './host-activity.js';
import { requestKind } from './host-activity.js';
import type { OutlierVerdict } from './outlier-reports.js';
import type { SubsetChoice } from './subset-choice.js';
import type { TargetAvailability } from './target-availability.js';
import { formingMs } from './target-availability.js';
import { randomSample, withoutOutliers } from './target-sample.js';
import type { TargetStatus } from './target-status.js';

/** A host that a request may be sent to. */
export type Target = {
  readonly host: HostEntry;
  /** The replica group whose head the host is; undefined for a plain service. */
  readonly group: ReplicaGroup | undefined;
};

/** The request for which a target is chosen. */
export type TargetQuery = {
  readonly service: Service;
  /** Model that the request names; undefined where it names none. */
  readonly model: string | undefined;
  /** Hosts that the request has already been sent to, as keys from `incarnationOf`. */
  readonly exclude: ReadonlySet<string>;
  /** Home regions that restrict where the request may be sent. */
  readonly homeRegions: HomeRegions;
  /** True to skip limited hosts (cold, or with a rate limit), because other requests have waited longer for them. */
  readonly skipsLimitedHosts?: boolean;
};

/** A host that serves the request's service and model, with its eligibility for the request. */
type HostVerdict = { readonly host: HostEntry; readonly verdict: Eligibility };

/**
 * Facts that decide where this entry host may send a request; `now` in monotonic milliseconds. A limited host is one
 * that is cold or has reported a rate limit.
 */
export type SendChoiceFacts = {
  /** Whether the host may receive a request with these home regions. */
  readonly eligibility: (host: HostEntry, homeRegions: HomeRegions, now: number) => Eligibility;
  /** Rest of the backoff that a host has asked for, in milliseconds; left out: no host asks for one. */
  readonly backoffLeftMs?: (host: HostEntry, now: number) => number;
  /** When requests may be sent to a limited host; undefined where none may be, and for a host without limits. */
  readonly paceOf?: (host: HostEntry, now: number) => SendPace | undefined;
  /** True if this entry host owns a share of the rate limit that the host has reported; left out: no host has one. */
  readonly ownsRateShare?: (host: HostEntry, now: number) => boolean;
  /** Milliseconds until a limited host accepts a request from any entry host; left out: 0. */
  readonly placeInMs?: (host: HostEntry, now: number) => number;
};

/** Options of the chooser: the eligibility facts and what is known about load and health of targets. */
export type ChooserOptions = SendChoiceFacts & {
  /** Failure domain of this entry host. */
  readonly failureDomain: string;
  /** Number of requests that peers have in progress at a host, as last reported. */
  readonly peerRequestsAt: (hostId: string) => number;
  /** True if the group has lost a member (see `lacking-groups.ts`). */
  readonly lacksMember?: (group: ReplicaGroup) => boolean;
  /** Verdict of the outlier reports on the target, undefined without one; `now` in monotonic milliseconds. */
  readonly outlier?: (target: Target, now: number) => OutlierVerdict | undefined;
  /** The subset of targets that this entry host prefers; left out: it prefers none. */
  readonly subsets?: SubsetChoice;
};

/** Assumed time to the first event, in milliseconds, until one has been observed at any host. */
const DEFAULT_FIRST_EVENT_MS = 80;
/** Increase of the cost of a host by each request in progress there, as a part of the cost of an idle host. */
const QUEUE_WEIGHT = 0.25;
/** Number of targets whose costs are compared for one request. */
const SAMPLE_SIZE = 3;
/** Cost factor of hosts in a failure domain other than that of this entry host. */
const REMOTE_DOMAIN_FACTOR = 1.05;
/** Upper bound of the random increase of a cost (0 to 1), so that equal targets are chosen equally often. */
const MAX_RANDOM_INCREASE = 0.1;
/** Cost factor of hosts to which no idle connection is open: opening one takes a round trip. */
const UNCONNECTED_FACTOR = 1.1;
/**
 * Cost factor of a host with a rate limit of which this entry host owns a share: an allowance that is not used at once
 * delays all later ones. Other hosts are still chosen first where they are expected to be twice as fast.
 */
const OWNED_SHARE_FACTOR = 0.5;
/**
 * A target outside the subset is chosen when the best one of the subset costs more than this many times as much.
 * Smaller differences may be chance, since the reported loads of peers are some hundred milliseconds old.
 */
const MAX_COST_RATIO_TO_OUTSIDE = 1.5;

/** Chooses targets by eligibility, health and expected time to the first event. */
export class TargetChooser {
  readonly #registry: HostRegistry;
  readonly #activities: HostActivities;
  readonly #options: ChooserOptions;
  readonly #groups = new Map<string, readonly ReplicaGroup[]>();
  /** Cached targets by service and model, for the current registry version: each request needs them several times. */
  readonly #targets = new Map<string, readonly Target[]>();
  #version = -1;

  constructor(registry: HostRegistry, activities: HostActivities, options: ChooserOptions) {
    this.#registry = registry;
    this.#activities = activities;
    this.#options = options;
  }

  /**
   * Returns the cheapest target of a random sample, or undefined if no target is eligible. Unhealthy targets are
   * used only if there are no others.
   *
   * A sample is used because the reported loads of peers are some hundred milliseconds old: if all entry hosts chose
   * the least loaded of all targets, they would overload it before its new load is reported.
   */
  choose(query: TargetQuery): Target | undefined {
    const now = monotonicMs();
    const eligible = this.#eligible(query, now).filter(({ host }) => !isExcluded(host, query));
    const healthy = eligible.filter(target => this.#isHealthy(target, now));
    const usable = withoutOutliers(healthy.length > 0 ? healthy : eligible, target =>
      this.#options.outlier?.(target, now),
    );
    const { service, model } = query;
    const typicalMs = this.#activities.typicalFirstMs(requestKind(service.name, model));
    const preferred = this.#subsetAmong(query, usable, now);
    const sample = [...randomSample(preferred, SAMPLE_SIZE), ...this.#withOwnedShare(usable, now)];
    const best = this.#cheapest(sample, typicalMs, now);
    if (preferred.length === usable.length || best === undefined) {
      return best?.target;
    }
    const outside = randomSample(without(usable, preferred), 1);
    const cheapestOutside = this.#cheapest(outside, typicalMs, now);
    const isOutsideCheaper =
      cheapestOutside !== undefined && best.cost > MAX_COST_RATIO_TO_OUTSIDE * cheapestOutside.cost;
    this.#options.subsets?.noteChoice(isOutsideCheaper ? 'outside' : 'subset', preferred.length);
    return isOutsideCheaper ? cheapestOutside.target : best.target;
  }

  /** True if a healthy and eligible target exists besides the excluded ones. */
  hasHealthyTarget(query: TargetQuery): boolean {
    const now = monotonicMs();
    return this.#eligible(query, now).some(
      target => !isExcluded(target.host, query) && this.#isHealthy(target, now),
    );
  }

  /**
   * Shortest time to the first event that the healthy targets have lately had, in milliseconds; undefined if the time
   * of one of them is not known, since it may be shorter.
   */
  expectedFirstMs(query: TargetQuery): number | undefined {
    const now = monotonicMs();
    let lowestMs: number | undefined;
    for (const target of this.#eligible(query, now)) {
      const { host } = target;
      if (!this.#isHealthy(target, now)) {
        continue;
      }
      const firstMs = this.#activities.recentFirstMs(host.id, now);
      if (firstMs === undefined) {
        return undefined;
      }
      lowestMs = Math.min(lowestMs ?? Infinity, firstMs);
    }
    return lowestMs;
  }

  /**
   * True if a silent run at the target is unlikely to continue: the host's entry was removed, or its group lacks a
   * member and is stalled. Call it for silent runs only: a host whose entry was removed because it was cut off from
   * the store continues to serve.
   */
  isLost({ host, group }: Target): boolean {
    const lacksMember = group !== undefined && this.#options.lacksMember?.(group) === true;
    return lacksMember || this.#registry.get(host.id) === undefined;
  }

  /** Returns why a request has no target, and when one could become available. */
  availability(query: TargetQuery): TargetAvailability {
    const now = monotonicMs();
    const { service, model } = query;
    const verdictOf = (host: HostEntry): Eligibility => this.#verdict(host, query, now);
    const verdicts = this.#candidates(query).map(({ host }) => ({
      host,
      verdict: verdictOf(host),
    }));
    const statuses = verdicts.map(({ host, verdict }): TargetStatus =>
      isExcluded(host, query) ? 'tried' : verdict,
    );
    const mayReceive = (head: HostEntry): boolean => isEligibleOrPaced(verdictOf(head));
    const { engine } = service;
    const groups = engine === undefined ? [] : this.groupsOf(service.name);
    return {
      statuses,
      formingMs: engine === undefined ? undefined : formingMs(groups, engine, model, mayReceive),
      backoffMs: this.#backoffMs(verdicts, now),
    };
  }

  // Includes hosts that the request was already sent to, since the caller may repeat the request.
  #backoffMs(verdicts: readonly HostVerdict[], now: number): number | undefined {
    const { backoffLeftMs } = this.#options;
    const backingOff = verdicts.filter(({ verdict }) => verdict === 'backing-off');
    const isAnyEligible = verdicts.some(({ verdict }) => verdict === 'eligible');
    if (backoffLeftMs === undefined || backingOff.length === 0 || isAnyEligible) {
      return undefined;
    }
    return Math.ceil(Math.min(...backingOff.map(({ host }) => backoffLeftMs(host, now))));
  }

  /** Combined send pace of all limited hosts for such requests; undefined if none of them may be sent one. */
  paceOf(query: TargetQuery): SendPace | undefined {
    const now = monotonicMs();
    const paces = this.#candidates(query).flatMap(({ host }) => {
      const mayReceive = isEligibleOrPaced(this.#verdict(host, query, now));
      const pace = mayReceive && !isExcluded(host, query) && this.#options.paceOf?.(host, now);
      return pace ? [pace] : [];
    });
    if (paces.length === 0) {
      return undefined;
    }
    const perMs = paces.reduce((sum, pace) => sum + 1 / pace.intervalMs, 0);
    return { nextInMs: Math.min(...paces.map(pace => pace.nextInMs)), intervalMs: 1 / perMs };
  }

  /**
   * Milliseconds until the first limited host accepts such a request, from this entry host or a peer; undefined if
   * there is no limited host, or if another host is eligible.
   */
  placeInMs(query: TargetQuery): number | undefined {
    const now = monotonicMs();
    const verdicts = this.#candidates(query).map(({ host }) => ({
      host,
      verdict: this.#verdict(host, query, now),
    }));
    const paced = verdicts.filter(({ verdict }) => isPaced(verdict));
    const isAnyEligible = verdicts.some(({ verdict }) => verdict === 'eligible');
    if (paced.length === 0 || isAnyEligible) {
      return undefined;
    }
    return Math.min(...paced.map(({ host }) => this.#options.placeInMs?.(host, now) ?? 0));
  }

  /** Replica groups of a service, derived from the registry entries of their members. */
  groupsOf(service: string): readonly ReplicaGroup[] {
    this.#clearStaleCaches();
    let groups = this.#groups.get(service);
    if (groups === undefined) {
      groups = collectReplicaGroups(this.#registry.ofService(service));
      this.#groups.set(service, groups);
    }
    return groups;
  }

  #clearStaleCaches(): void {
    if (this.#version !== this.#registry.version) {
      this.#groups.clear();
      this.#targets.clear();
      this.#version = this.#registry.version;
    }
  }

  #eligible(query: TargetQuery, now: number): readonly Target[] {
    return this.#candidates(query).filter(
      ({ host }) => this.#verdict(host, query, now) === 'eligible',
    );
  }

  // The allowances of limited hosts go first to the requests that have waited for them.
  #verdict(
    host: HostEntry,
    { homeRegions, skipsLimitedHosts }: TargetQuery,
    now: number,
  ): Eligibility {
    const { eligibility, paceOf } = this.#options;
    const verdict = eligibility(host, homeRegions, now);
    const skipsPaced = skipsLimitedHosts === true && verdict === 'eligible';
    return skipsPaced && paceOf?.(host, now) !== undefined ? 'rate-limit' : verdict;
  }

  #candidates(query: TargetQuery): readonly Target[] {
    this.#clearStaleCaches();
    const { service, model } = query;
    // Callers may send any model name, so only those of the configuration are cached.
    if (service.engine !== undefined && model !== undefined && !declaresModel(service, model)) {
      return this.#targetsOf(query);
    }
    const kind = service.engine === undefined ? 'plain' : `engine/${model ?? ''}`;
    const key = `${service.name}/${kind}`;
    let targets = this.#targets.get(key);
    if (targets === undefined) {
      targets = this.#targetsOf(query);
      this.#targets.set(key, targets);
    }
    return targets;
  }

  #targetsOf({ service, model }: TargetQuery): readonly Target[] {
    if (service.engine === undefined) {
      return this.#registry.ofService(service.name).map(host => ({ host, group: undefined }));
    }
    return this.groupsOf(service.name).flatMap(group => {
      const { head } = group;
      const serves = headState(group) === 'open';
      const fits = model === undefined || group.model === model;
      return head !== undefined && serves && fits ? [{ host: head, group }] : [];
    });
  }

  // Returns the first targets of `targets` in this entry host's order of preference: a missing target is replaced by
  // the next one in that order.
  #subsetAmong(query: TargetQuery, targets: readonly Target[], now: number): readonly Target[] {
    const { subsets } = this.#options;
    if (subsets === undefined) {
      return targets;
    }
    const { service, model } = query;
    const served = service.engine === undefined ? undefined : model;
    const key = { service: service.name, model: served };
    // Counts each request once: one that backingOff calls this repeatedly until there is a target.
    if (query.exclude.size === 0 && targets.length > 0) {
      subsets.noteRequest(key, now);
    }
    const all = this.#candidates(query);
    const size = subsets.sizeOf(key, all.length, now);
    if (size >= targets.length) {
      return targets;
    }
    const ranks = subsets.ranksOf(
      key,
      all.map(({ host }) => host.id),
    );
    const rankOf = ({ host }: Target): number => ranks.get(host.id) ?? ranks.size;
    return [...targets].sort((a, b) => rankOf(a) - rankOf(b)).slice(0, size);
  }

  // Hosts with a rate limit are eligible rarely and at few entry hosts: an unused allowance is lost for all of them.
  #withOwnedShare(eligible: readonly Target[], now: number): readonly Target[] {
    return eligible.filter(({ host }) => this.#options.ownsRateShare?.(host, now) === true);
  }

  #cheapest(
    targets: readonly Target[],
    typicalMs: number | undefined,
    now: number,
  ): { readonly target: Target; readonly cost: number } | undefined {
    const costs = targets.map(target => ({
      target,
      cost: this.#cost(target.host, typicalMs, now),
    }));
    return costs.reduce<(typeof costs)[number] | undefined>(
      (best, next) => (best === undefined || next.cost < best.cost ? next : best),
      undefined,
    );
  }

  // The head of a group that lacks a member still accepts requests, but they make no progress.
  #isHealthy({ host, group }: Target, now: number): boolean {
    if (group !== undefined && this.#options.lacksMember?.(group) === true) {
      return false;
    }
    const { id, failureDomain } = host;
    const { reach } = this.#activities;
    const cutOff =
      failureDomain !== this.#options.failureDomain && reach.isCutOff(failureDomain, now);
    return !cutOff && !this.#activities.isAvoided(id, now);
  }

  // A target without observed times is assumed to have the usual speed, not a higher one.
  #cost(host: HostEntry, typicalMs: number | undefined, now: number): number {
    const activity = this.#activities.of(host.id);
    const usualMs = typicalMs ?? DEFAULT_FIRST_EVENT_MS;
    const first = this.#activities.expectedFirstMs(host.id, usualMs, now);
    const queue = 1 + QUEUE_WEIGHT * (activity.inFlight + this.#options.peerRequestsAt(host.id));
    const remote = host.failureDomain === this.#options.failureDomain ? 1 : REMOTE_DOMAIN_FACTOR;
    const unconnected = this.#options.subsets?.isConnected(host) === false;
    const connection = unconnected ? UNCONNECTED_FACTOR : 1;
    const share = this.#options.ownsRateShare?.(host, now) === true ? OWNED_SHARE_FACTOR : 1;
    return first * queue * remote * connection * share * (1 + MAX_RANDOM_INCREASE * Math.random());
  }
}

// True for hosts that may receive the request now, or with the next allowance for them.
function isEligibleOrPaced(verdict: Eligibility): boolean {
  return verdict === 'eligible' || isPaced(verdict);
}

function isExcluded(host: HostEntry, { exclude }: TargetQuery): boolean {
  return exclude.has(incarnationOf(host));
}

function without(targets: readonly Target[], others: readonly Target[]): readonly Target[] {
  return targets.filter(target => !others.includes(target));
}
