/** Chooses the host that takes a request: a group's head, or a host of a plain service. */
import type { Service } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import { headState, replicaGroups } from '../groups/replica-groups.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { SendPace } from '../rate-limits/paced-sends.js';
import { monotonicMs } from '../server/time.js';
import type { Eligibility, HomeRegions } from './eligibility.js';
import { isPaced } from './eligibility.js';
import type { HostActivities } from './host-activity.js';
import { kindOf } from './host-activity.js';
import type { OutlierVerdict } from './outlier-reports.js';
import type { SubsetChoice } from './subset-choice.js';
import type { TargetOutlook } from './target-outlook.js';
import { formingMs } from './target-outlook.js';
import { sampleOf, withoutOutliers } from './target-sample.js';
import type { TargetStanding } from './target-standings.js';

/** A host that may take a request. */
export type Target = {
  readonly host: HostEntry;
  /** The group whose head it is, for model engines. */
  readonly group: ReplicaGroup | undefined;
};

/** What a target is chosen for. */
export type TargetQuery = {
  readonly service: Service;
  /** Model that the request names. */
  readonly model: string | undefined;
  /** Hosts that the request was sent to before, by `incarnationOf`. */
  readonly exclude: ReadonlySet<string>;
  /** Home regions that restrict the request. */
  readonly homeRegions: HomeRegions;
  /** True where other requests have waited longer for the paced hosts. */
  readonly leavesPaced?: boolean;
};

/** A host that serves a request's service and model, and whether it may receive the request. */
type JudgedHost = { readonly host: HostEntry; readonly verdict: Eligibility };

/** What decides where this entry host may send; `now` in monotonic milliseconds. */
export type SendChoiceFacts = {
  /** Whether the host may receive such a request. */
  readonly eligibility: (host: HostEntry, homeRegions: HomeRegions, now: number) => Eligibility;
  /** For how much longer a host has asked for no requests, in milliseconds; left out: none ever asks. */
  readonly backoffLeftMs?: (host: HostEntry, now: number) => number;
  /** When requests may be sent to a host that takes few; undefined where none may, and for any other host. */
  readonly paceOf?: (host: HostEntry, now: number) => SendPace | undefined;
  /** True for a host that has named a limit, of which this entry host owns a share; left out: there are none. */
  readonly ownsShare?: (host: HostEntry, now: number) => boolean;
  /** Milliseconds until a host that takes few has a place for a request of any entry host; left out: at once. */
  readonly placeInMs?: (host: HostEntry, now: number) => number;
};

/** What a chooser knows beside the hosts. */
export type ChooserOptions = SendChoiceFacts & {
  readonly failureDomain: string;
  /** Requests of other entry hosts in progress at a host. */
  readonly othersAt: (hostId: string) => number;
  /** True when a member has left the group (see `lacking-groups.ts`). */
  readonly lacksMember?: (group: ReplicaGroup) => boolean;
  /** What entry hosts report of the target; `now` in monotonic milliseconds. */
  readonly outlier?: (target: Target, now: number) => OutlierVerdict | undefined;
  /** The preferred subsets of targets; left out: no target is preferred for being in one. */
  readonly subsets?: SubsetChoice;
};

/** Time to the first event that is assumed while nothing is known of any host, in milliseconds. */
const DEFAULT_FIRST_MS = 80;
/** Weight of each request that is at a host already. */
const QUEUE_WEIGHT = 0.25;
/** Targets that are compared for one request. */
const SAMPLE = 3;
/** Factor on the cost of hosts in other failure domains. */
const REMOTE_FACTOR = 1.05;
/** Greatest part by which a cost is raised at random, so that equal targets are chosen alike. */
const SPREAD = 0.1;
/** Factor on the cost of hosts to which no idle connection is open: a new one costs a round trip. */
const UNCONNECTED_FACTOR = 1.1;
/**
 * Factor on the cost of a host that has named a limit, at the turn of this entry host: a turn that is not used at once
 * delays all later ones. Such a host is passed over where others are expected to be twice as quick.
 */
const TURN_FACTOR = 0.5;
/**
 * Cost of the best target of the subset, as a multiple of that of one outside, from which the one outside
 * is taken. Differences below it may be chance, since loads of other entry hosts are some hundred
 * milliseconds old.
 */
const MOST_OVER_OUTSIDE = 1.5;
/** Chooses targets by what this entry host has seen of them. */
export class TargetChooser {
  readonly #registry: HostRegistry;
  readonly #activities: HostActivities;
  readonly #options: ChooserOptions;
  readonly #groups = new Map<string, readonly ReplicaGroup[]>();
  /** Targets by service and model as of the registry's version: each request asks several times. */
  readonly #targets = new Map<string, readonly Target[]>();
  #version = -1;

  constructor(registry: HostRegistry, activities: HostActivities, options: ChooserOptions) {
    this.#registry = registry;
    this.#activities = activities;
    this.#options = options;
  }

  /**
   * The best target of a random sample; undefined while there is none. Hosts that are avoided are taken
   * only where there are no others.
   *
   * A sample, because the loads of other entry hosts are some hundred milliseconds old: if all took the
   * least loaded of all targets, they would overload the same one before its load is known.
   */
  choose(query: TargetQuery): Target | undefined {
    const now = monotonicMs();
    const usable = this.#eligible(query, now).filter(({ host }) => !isExcluded(host, query));
    const sound = usable.filter(target => this.#isSound(target, now));
    const from = withoutOutliers(sound.length > 0 ? sound : usable, target =>
      this.#options.outlier?.(target, now),
    );
    const { service, model } = query;
    const typicalMs = this.#activities.typicalFirstMs(kindOf(service.name, model));
    const near = this.#subsetOf(query, from, now);
    const sample = [...sampleOf(near, SAMPLE), ...this.#atTheirTurn(from, now)];
    const best = this.#cheapest(sample, typicalMs, now);
    if (near.length === from.length || best === undefined) {
      return best?.target;
    }
    const outside = sampleOf(without(from, near), 1);
    const other = this.#cheapest(outside, typicalMs, now);
    const isBusy = other !== undefined && best.cost > MOST_OVER_OUTSIDE * other.cost;
    this.#options.subsets?.noteChoice(isBusy ? 'outside' : 'subset', near.length);
    return isBusy ? other.target : best.target;
  }

  /** True when a target other than the excluded ones exists that is not avoided. */
  hasSound(query: TargetQuery): boolean {
    const now = monotonicMs();
    return this.#eligible(query, now).some(
      target => !isExcluded(target.host, query) && this.#isSound(target, now),
    );
  }

  /**
   * Least time to the first event that targets have lately had, in milliseconds; undefined as soon
   * as one of them, which then may be quicker, is not known.
   */
  expectedFirstMs(query: TargetQuery): number | undefined {
    const now = monotonicMs();
    let least: number | undefined;
    for (const target of this.#eligible(query, now)) {
      const { host } = target;
      if (!this.#isSound(target, now)) {
        continue;
      }
      const firstMs = this.#activities.recentFirstMs(host.id, now);
      if (firstMs === undefined) {
        return undefined;
      }
      least = Math.min(least ?? Infinity, firstMs);
    }
    return least;
  }

  /**
   * True when a silent run at the target will hardly go on: its host's entry has gone, or its group lacks a
   * member and is stalled. To be asked of silent runs only: a host whose entry has gone because it was cut
   * off from the store goes on serving.
   */
  isLost({ host, group }: Target): boolean {
    const lacks = group !== undefined && this.#options.lacksMember?.(group) === true;
    return lacks || this.#registry.get(host.id) === undefined;
  }

  /** Why a request has no target, and when it could have one. */
  outlook(query: TargetQuery): TargetOutlook {
    const now = monotonicMs();
    const { service, model } = query;
    const verdictOf = (host: HostEntry): Eligibility => this.#verdict(host, query, now);
    const judged = this.#candidates(query).map(({ host }) => ({ host, verdict: verdictOf(host) }));
    const standings = judged.map(({ host, verdict }): TargetStanding =>
      isExcluded(host, query) ? 'tried' : verdict,
    );
    const isOpenTo = (head: HostEntry): boolean => isOpen(verdictOf(head));
    const { engine } = service;
    const groups = engine === undefined ? [] : this.groupsOf(service.name);
    return {
      standings,
      formingMs: engine === undefined ? undefined : formingMs(groups, engine, model, isOpenTo),
      backoffMs: this.#backoffMs(judged, now),
    };
  }

  // Hosts that the request was sent to count too: its caller may come back.
  #backoffMs(judged: readonly JudgedHost[], now: number): number | undefined {
    const { backoffLeftMs } = this.#options;
    const waits = judged.filter(({ verdict }) => verdict === 'backing-off');
    const isAnyEligible = judged.some(({ verdict }) => verdict === 'eligible');
    if (backoffLeftMs === undefined || waits.length === 0 || isAnyEligible) {
      return undefined;
    }
    return Math.ceil(Math.min(...waits.map(({ host }) => backoffLeftMs(host, now))));
  }

  /** When all hosts that take few can take such requests together; undefined where none may be sent one. */
  paceOf(query: TargetQuery): SendPace | undefined {
    const now = monotonicMs();
    const paces = this.#candidates(query).flatMap(({ host }) => {
      const mayHave = isOpen(this.#verdict(host, query, now));
      const pace = mayHave && !isExcluded(host, query) && this.#options.paceOf?.(host, now);
      return pace ? [pace] : [];
    });
    if (paces.length === 0) {
      return undefined;
    }
    const perMs = paces.reduce((sum, pace) => sum + 1 / pace.intervalMs, 0);
    return { nextInMs: Math.min(...paces.map(pace => pace.nextInMs)), intervalMs: 1 / perMs };
  }

  /**
   * Milliseconds until the first of the hosts that take few has a place for such a request, here or at another entry
   * host; undefined where there are none, or where another host may receive it.
   */
  placeInMs(query: TargetQuery): number | undefined {
    const now = monotonicMs();
    const judged = this.#candidates(query).map(({ host }) => ({
      host,
      verdict: this.#verdict(host, query, now),
    }));
    const paced = judged.filter(({ verdict }) => isPaced(verdict));
    const isAnyEligible = judged.some(({ verdict }) => verdict === 'eligible');
    if (paced.length === 0 || isAnyEligible) {
      return undefined;
    }
    return Math.min(...paced.map(({ host }) => this.#options.placeInMs?.(host, now) ?? 0));
  }

  /** Groups of a service, by the entries of their members. */
  groupsOf(service: string): readonly ReplicaGroup[] {
    this.#forgetOlderVersion();
    let groups = this.#groups.get(service);
    if (groups === undefined) {
      groups = replicaGroups(this.#registry.ofService(service));
      this.#groups.set(service, groups);
    }
    return groups;
  }

  #forgetOlderVersion(): void {
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

  // Turns at a paced host go to those that have waited for them.
  #verdict(host: HostEntry, { homeRegions, leavesPaced }: TargetQuery, now: number): Eligibility {
    const { eligibility, paceOf } = this.#options;
    const verdict = eligibility(host, homeRegions, now);
    const isLeft = leavesPaced === true && verdict === 'eligible';
    return isLeft && paceOf?.(host, now) !== undefined ? 'rate-limit' : verdict;
  }

  #candidates(query: TargetQuery): readonly Target[] {
    this.#forgetOlderVersion();
    const { service, model } = query;
    // Callers choose the model's name freely where the service has no engine.
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

  // The first of this entry host's order among `from`: a target that is not usable is replaced by the next
  // one of the order.
  #subsetOf(query: TargetQuery, from: readonly Target[], now: number): readonly Target[] {
    const { subsets } = this.#options;
    if (subsets === undefined) {
      return from;
    }
    const { service, model } = query;
    const served = service.engine === undefined ? undefined : model;
    const key = { service: service.name, model: served };
    // Counted once: a waiting request asks again and again, until there is some target.
    if (query.exclude.size === 0 && from.length > 0) {
      subsets.noteRequest(key, now);
    }
    const all = this.#candidates(query);
    const size = subsets.sizeOf(key, all.length, now);
    if (size >= from.length) {
      return from;
    }
    const ranks = subsets.ranksOf(
      key,
      all.map(({ host }) => host.id),
    );
    const rankOf = ({ host }: Target): number => ranks.get(host.id) ?? ranks.size;
    return [...from].sort((a, b) => rankOf(a) - rankOf(b)).slice(0, size);
  }

  // Hosts that have named a limit are eligible seldom, and at few entry hosts: a turn that is not used is lost for all.
  #atTheirTurn(eligible: readonly Target[], now: number): readonly Target[] {
    return eligible.filter(({ host }) => this.#options.ownsShare?.(host, now) === true);
  }

  #cheapest(
    targets: readonly Target[],
    typicalMs: number | undefined,
    now: number,
  ): { readonly target: Target; readonly cost: number } | undefined {
    const priced = targets.map(target => ({
      target,
      cost: this.#cost(target.host, typicalMs, now),
    }));
    return priced.reduce<(typeof priced)[number] | undefined>(
      (best, next) => (best === undefined || next.cost < best.cost ? next : best),
      undefined,
    );
  }

  // The head of a group that lacks a member still accepts requests, but none of them progresses.
  #isSound({ host, group }: Target, now: number): boolean {
    if (group !== undefined && this.#options.lacksMember?.(group) === true) {
      return false;
    }
    const { id, failureDomain } = host;
    const { reach } = this.#activities;
    const cutOff =
      failureDomain !== this.#options.failureDomain && reach.isCutOff(failureDomain, now);
    return !cutOff && !this.#activities.isAvoided(id, now);
  }

  // A target of which nothing is known counts as one of usual speed, not as a faster one.
  #cost(host: HostEntry, typicalMs: number | undefined, now: number): number {
    const activity = this.#activities.of(host.id);
    const usualMs = typicalMs ?? DEFAULT_FIRST_MS;
    const first = this.#activities.expectedFirstMs(host.id, usualMs, now);
    const queue = 1 + QUEUE_WEIGHT * (activity.inFlight + this.#options.othersAt(host.id));
    const remote = host.failureDomain === this.#options.failureDomain ? 1 : REMOTE_FACTOR;
    const unconnected = this.#options.subsets?.isConnected(host) === false;
    const connection = unconnected ? UNCONNECTED_FACTOR : 1;
    const turn = this.#options.ownsShare?.(host, now) === true ? TURN_FACTOR : 1;
    return first * queue * remote * connection * turn * (1 + SPREAD * Math.random());
  }
}

// Hosts that may receive the request now, or at their next turn.
function isOpen(verdict: Eligibility): boolean {
  return verdict === 'eligible' || isPaced(verdict);
}

function isExcluded(host: HostEntry, { exclude }: TargetQuery): boolean {
  return exclude.has(incarnationOf(host));
}

function without(targets: readonly Target[], others: readonly Target[]): readonly Target[] {
  return targets.filter(target => !others.includes(target));
}
