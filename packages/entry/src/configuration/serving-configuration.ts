/** What operators declare for the entry hosts: routes, services, workspaces and limits. */

/** What may be repeated: streams and idempotent calls after any loss, the others never. */
export type RouteKind = 'stream' | 'idempotent' | 'non-idempotent';

/** A service that takes a share of a route's requests. */
export type WeightedService = {
  readonly service: string;
  readonly weight: number;
};

/** A route: requests of one host name and path prefix. */
export type Route = {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** A broken stream may go on elsewhere behind its last event. */
  readonly resumable: boolean;
  /** Longest time a request may be held, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: to the first event or to the whole answer, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between two events, in milliseconds. */
  readonly gapTargetMs: number;
  /** Rank, 0 first. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Most hosts that one request may be sent to. */
  readonly maxAttempts: number;
  /** Needs no key. */
  readonly isPublic: boolean;
  /** Regions whose hosts may run its requests; empty: any. */
  readonly homeRegions: readonly string[];
};

/** A model that a service's hosts can form groups for. */
export type GroupModel = {
  readonly name: string;
  /** Hosts of a replica group. */
  readonly size: number;
  /** Factor on all times of the engine. */
  readonly pace: number;
  /** Part of the service's requests, 0 to 1. */
  readonly workShare: number;
  /** Time of a load from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time of a load from the host's own copy, in milliseconds. */
  readonly warmMs: number;
};

/** What is known of a service's model engines. */
export type EngineProfile = {
  readonly models: readonly GroupModel[];
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Loads from the weight store that may begin in a second. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed side by side. */
  readonly loadsAtOnce: number;
  /** Models whose weights a host keeps; staging one more evicts the oldest. */
  readonly stagedModelsKept: number;
};

/** Rate limit of hosts that have started a moment ago, in their caches and connections still cold. */
export type SlowStart = {
  /** Requests a second that a cold host can handle. */
  readonly requestsPerSecond: number;
  /** Time for which a host usually stays cold, in milliseconds. */
  readonly coldMs: number;
};

/** A service: hosts that answer the same requests. */
export type Service = {
  readonly name: string;
  /** Connections a host accepts from all entry hosts together. */
  readonly maxConnections: number;
  /** Undefined where a host takes its full rate from the start. */
  readonly slowStart: SlowStart | undefined;
  /** Present where the hosts are model engines that form groups. */
  readonly engine: EngineProfile | undefined;
};

/** A workspace with the keys of its callers. */
export type Workspace = {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Regions whose hosts may run its requests, beside those of the route; empty: any. */
  readonly homeRegions: readonly string[];
};

/** Bounds on what a caller may send, and on how long it may stay idle. */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
};

/** One version of the configuration, whole. */
export type ServingConfiguration = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Absent where no route needs a key. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
};
