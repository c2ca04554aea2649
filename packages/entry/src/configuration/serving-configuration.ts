/** Configuration that operators declare for the entry hosts: routes, services, workspaces and limits. */

/** Kind of a route, which decides on retries: streams and idempotent calls after any failure, others never. */
export type RouteKind = 'stream' | 'idempotent' | 'non-idempotent';

/** A service that receives a share of a route's requests, in proportion to its weight. */
export type WeightedService = {
  readonly service: string;
  readonly weight: number;
};

/** Rules for requests with one host name and path prefix. */
export type Route = {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** True if a broken stream may be resumed on another host after its last event. */
  readonly resumable: boolean;
  /** Maximum time for a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: time to the first event or to the complete answer, in milliseconds. */
  readonly objectiveMs: number;
  /** Objective for the longest pause between two events, in milliseconds. */
  readonly gapTargetMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Maximum number of hosts that one request may be sent to. */
  readonly maxAttempts: number;
  /** True if requests require no key. */
  readonly isPublic: boolean;
  /** Regions whose hosts may run the requests; all regions if empty. */
  readonly homeRegions: readonly string[];
};

/** A model that hosts of a service can form replica groups for. */
export type GroupModel = {
  readonly name: string;
  /** Number of hosts in a replica group. */
  readonly size: number;
  /** Factor on all times of the engine. */
  readonly pace: number;
  /** The model's share of the service's requests, 0 to 1. */
  readonly workShare: number;
  /** Duration of a load from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Duration of a load from the host's local copy, in milliseconds. */
  readonly warmMs: number;
};

/** Models and capacity of a service's engines. */
export type EngineProfile = {
  readonly models: readonly GroupModel[];
  /** Number of requests that a group runs concurrently. */
  readonly slots: number;
  /** Number of loads from the weight store that may start per second. */
  readonly loadsPerSecond: number;
  /** Number of concurrent loads that still run at full speed. */
  readonly loadsAtOnce: number;
  /** Number of models whose weights a host keeps; staging another one evicts the oldest. */
  readonly stagedModelsKept: number;
};

/** Rate limit of hosts that have just started, while their caches and connections are cold. */
export type SlowStart = {
  /** Requests per second that a cold host can handle. */
  readonly requestsPerSecond: number;
  /** Usual time until a cold host is warm, in milliseconds. */
  readonly coldMs: number;
};

/** A set of hosts that answer the same requests. */
export type Service = {
  readonly name: string;
  /** Number of connections that a host accepts from all entry hosts together. */
  readonly maxConnections: number;
  /** Undefined if a host handles its full rate from the start. */
  readonly slowStart: SlowStart | undefined;
  /** Defined if the hosts are model engines that form replica groups. */
  readonly engine: EngineProfile | undefined;
};

/** True if the service's configuration names the model; callers may name any. */
export function declaresModel({ engine }: Pick<Service, 'engine'>, model: string): boolean {
  return engine?.models.some(({ name }) => name === model) === true;
}

/** A workspace and the keys of its callers. */
export type Workspace = {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Regions whose hosts may run its requests, as a restriction in addition to the route's; all if empty. */
  readonly homeRegions: readonly string[];
};

/** Size limits for requests of callers (bytes), and timeouts of their connections (milliseconds). */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
};

/** One complete version of the configuration. */
export type ServingConfiguration = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if no route requires a key. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly limits: CallerLimits;
};
