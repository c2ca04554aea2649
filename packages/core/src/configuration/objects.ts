/** Schemas of the objects that operators declare in the configuration. */
import { z } from 'zod';

import { integerField, listField, numberField, textField, yesNoField } from './fields.js';

/** A model: the hosts and weights that one replica needs, and the number of replicas wanted. */
export type Model = z.infer<typeof modelSchema>;
/** Schema of `[model NAME]`. */
export const modelSchema = z.strictObject({
  version: textField(),
  /** Number of hosts of one replica. */
  hosts: integerField(1, 64),
  /** Number of replicas wanted in all failure domains together. */
  replicas: integerField(0, 10000),
  /** Factor on the cost of one replica's downtime; higher is more important. */
  importance: numberField(0.01, 1000).default(1),
  /** Size of the weights that each host reads, in gigabytes. */
  'gigabytes-per-host': numberField(0.001, 10000),
  /** Number of requests that a replica runs at the same time. */
  slots: integerField(1, 100000).default(64),
  'failure-domains': listField(),
  adapters: listField(),
  upstream: textField(),
});

/** An adapter that the replicas of a model load in addition to the model. */
export type Adapter = z.infer<typeof adapterSchema>;
/** Schema of `[adapter NAME]`. */
export const adapterSchema = z.strictObject({
  model: textField(),
  version: textField(),
});

/** A workspace: callers with a common set of keys and a common share of the capacity. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** Schema of `[workspace NAME]`. */
export const workspaceSchema = z.strictObject({
  /** SHA-256 of each caller key, in hexadecimal. */
  'key-sha256': listField().refine(
    keys => keys.length > 0 && keys.every(key => /^[0-9a-f]{64}$/.test(key)),
    'must be SHA-256 values in lower-case hexadecimal, separated by commas',
  ),
  /** Share of the capacity, 0 to 1, that the workspace may use while others need theirs. */
  share: numberField(0, 1),
  models: listField(),
  services: listField(),
});

/** A plain service (not a model) to which calls are routed. */
export type Service = z.infer<typeof serviceSchema>;
/** Schema of `[service NAME]`. */
export const serviceSchema = z.strictObject({
  /** Servers of the service, as `failure-domain@http://ip:port`, separated by commas. */
  runners: listField().refine(
    items => items.length > 0 && items.every(item => /^[^@]+@https?:\/\/[^@]+$/.test(item)),
    'must be FAILURE-DOMAIN@URL, separated by commas',
  ),
  /** Calls that must not run twice, as `METHOD /path-prefix`, separated by commas. */
  'non-repeatable': listField(),
  'timeout-ms': integerField(1, 3_600_000).default(10_000),
});

/** Properties of a kind of upstream host, to which models refer by name. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** Schema of `[upstream NAME]`. */
export const upstreamSchema = z.strictObject({
  /** Whether these hosts refuse orders and requests that carry an older epoch. */
  'checks-fence': yesNoField(),
});

/** Hooks at which a policy program runs. */
export const POLICY_HOOKS = ['priority', 'capacity', 'host-loss'] as const;
/** One of the hooks at which a policy program runs. */
export type PolicyHook = (typeof POLICY_HOOKS)[number];

/** A policy: a CEL expression that is evaluated at a hook. */
export type Policy = z.infer<typeof policySchema>;
/** Schema of `[policy NAME]`. */
export const policySchema = z.strictObject({
  hook: z.enum(POLICY_HOOKS, {
    message: `must be one of ${POLICY_HOOKS.join(', ')}`,
  }),
  program: textField(),
});

/** The service level promised to callers of a model: time limits and how often they are met. */
export type ServiceLevel = z.infer<typeof serviceLevelSchema>;
/** Schema of `[service-level NAME]`. */
export const serviceLevelSchema = z.strictObject({
  model: textField(),
  'first-token-ms': numberField(1, 1e6),
  'between-tokens-ms': numberField(0.1, 1e6),
  /** Share of the requests, 0 to 1, that must meet both limits. */
  objective: numberField(0.5, 0.99999),
});

/** Values that apply to the whole deployment. */
export type Deployment = z.infer<typeof deploymentSchema>;
/** Schema of `[deployment]`. */
export const deploymentSchema = z.strictObject({
  name: textField(),
  /** Failure domains, in the order in which replicas and key shares are spread over them. */
  'failure-domains': listField().refine(items => items.length > 0, 'must name at least one'),
  /** Cost of one second of downtime of a replica with importance 1. */
  'downtime-weight': numberField(0, 1000).default(1),
  /** Cost of one second of an idle accelerator. */
  'stranded-weight': numberField(0, 1000).default(0.1),
  /** Throughput of the weight store for all loads together, in gigabytes per second. */
  'weight-store-gigabytes-per-second': numberField(0.001, 100000).default(10),
});

/** All objects that operators declared in one revision, by name. */
export type Configuration = {
  readonly deployment: Deployment;
  readonly models: ReadonlyMap<string, Model>;
  readonly adapters: ReadonlyMap<string, Adapter>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly services: ReadonlyMap<string, Service>;
  readonly upstreams: ReadonlyMap<string, Upstream>;
  readonly policies: ReadonlyMap<string, Policy>;
  readonly serviceLevels: ReadonlyMap<string, ServiceLevel>;
};
