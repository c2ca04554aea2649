/** The objects that operators declare: models, adapters, workspaces, services, upstreams, policies. */
import { z } from 'zod';

import { integerField, listField, numberField, textField, yesNoField } from './fields.js';

/** A model: what a replica is made of and how many replicas are wanted. */
export type Model = z.infer<typeof modelSchema>;
/** Schema of `[model NAME]`. */
export const modelSchema = z.strictObject({
  version: textField(),
  /** Hosts of one replica. */
  hosts: integerField(1, 64),
  /** Replicas wanted over all failure domains. */
  replicas: integerField(0, 10000),
  /** Weight of one replica's downtime against others; higher is more important. */
  importance: numberField(0.01, 1000).default(1),
  /** Gigabytes of weights that each host reads. */
  'gigabytes-per-host': numberField(0.001, 10000),
  /** Requests that a replica runs at once. */
  slots: integerField(1, 100000).default(64),
  'failure-domains': listField(),
  adapters: listField(),
  upstream: textField(),
});

/** An adapter that replicas of a model load besides the model. */
export type Adapter = z.infer<typeof adapterSchema>;
/** Schema of `[adapter NAME]`. */
export const adapterSchema = z.strictObject({
  model: textField(),
  version: textField(),
});

/** A workspace: callers who share keys and a share of the capacity. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** Schema of `[workspace NAME]`. */
export const workspaceSchema = z.strictObject({
  /** SHA-256 of each caller key, in hexadecimal. */
  'key-sha256': listField().refine(
    keys => keys.length > 0 && keys.every(key => /^[0-9a-f]{64}$/.test(key)),
    'must be SHA-256 values in lower-case hexadecimal, separated by commas',
  ),
  /** Part of the capacity that the workspace may hold when others want theirs. */
  share: numberField(0, 1),
  models: listField(),
  services: listField(),
});

/** A plain service to which calls are routed. */
export type Service = z.infer<typeof serviceSchema>;
/** Schema of `[service NAME]`. */
export const serviceSchema = z.strictObject({
  /** `failure-domain@http://ip:port`, separated by commas. */
  runners: listField().refine(
    items => items.length > 0 && items.every(item => /^[^@]+@https?:\/\/[^@]+$/.test(item)),
    'must be FAILURE-DOMAIN@URL, separated by commas',
  ),
  /** `METHOD /path-prefix` of calls that must not run twice, separated by commas. */
  'non-repeatable': listField(),
  'timeout-ms': integerField(1, 3_600_000).default(10_000),
});

/** What is known of a kind of host. */
export type Upstream = z.infer<typeof upstreamSchema>;
/** Schema of `[upstream NAME]`. */
export const upstreamSchema = z.strictObject({
  /** Whether it refuses orders and requests that carry an older epoch. */
  'checks-fence': yesNoField(),
});

/** Hooks at which a policy program runs. */
export const POLICY_HOOKS = ['priority', 'capacity', 'host-loss'] as const;
/** One of the hooks at which a policy program runs. */
export type PolicyHook = (typeof POLICY_HOOKS)[number];

/** A policy: a CEL expression at a hook. */
export type Policy = z.infer<typeof policySchema>;
/** Schema of `[policy NAME]`. */
export const policySchema = z.strictObject({
  hook: z.enum(POLICY_HOOKS, {
    message: `must be one of ${POLICY_HOOKS.join(', ')}`,
  }),
  program: textField(),
});

/** The service level that callers of a model are promised. */
export type ServiceLevel = z.infer<typeof serviceLevelSchema>;
/** Schema of `[service-level NAME]`. */
export const serviceLevelSchema = z.strictObject({
  model: textField(),
  'first-token-ms': numberField(1, 1e6),
  'between-tokens-ms': numberField(0.1, 1e6),
  /** Part of the requests that must keep both. */
  objective: numberField(0.5, 0.99999),
});

/** Deployment-wide values. */
export type Deployment = z.infer<typeof deploymentSchema>;
/** Schema of `[deployment]`. */
export const deploymentSchema = z.strictObject({
  name: textField(),
  /** Failure domains, in the order in which replicas and key shares are spread over them. */
  'failure-domains': listField().refine(items => items.length > 0, 'must name at least one'),
  /** What a second of downtime of a replica of importance 1 costs. */
  'downtime-weight': numberField(0, 1000).default(1),
  /** What a second of an accelerator that sits idle costs. */
  'stranded-weight': numberField(0, 1000).default(0.1),
  /** Gigabytes a second that the weight store gives to all loads together. */
  'weight-store-gigabytes-per-second': numberField(0.001, 100000).default(10),
});

/** Everything operators declared, at one revision. */
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
