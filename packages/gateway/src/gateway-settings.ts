/** Settings of a gateway. */
import { addressField, integerField, numberField, textField } from '@hingescale/core';
import type { SettingsOf } from '@hingescale/runtime';
import {
  linksSection,
  logSection,
  platformSection,
  processSection,
  timingSection,
} from '@hingescale/runtime';
import { z } from 'zod';

import { ROUTING_STRATEGIES } from './routing/router.js';

/** Schema of the settings file of a gateway. */
export const gatewaySchema = {
  process: processSection,
  platform: platformSection,
  links: linksSection,
  timing: timingSection,
  log: logSection,
  callers: z.strictObject({
    listen: addressField(),
    'body-limit-bytes': integerField(1_000, 100_000_000).default(2_000_000),
    /** Memory for the bodies of requests in progress; by default 8 times the largest body. */
    'body-memory-bytes': integerField(1_000_000, 100_000_000_000).optional(),
    'headers-timeout-ms': integerField(100, 600_000).default(10_000),
    'request-timeout-ms': integerField(100, 600_000).default(30_000),
    'max-connections': integerField(1, 1_000_000).default(20_000),
    /** Deadline of requests that name none, and the longest one that a request may ask for. */
    'deadline-ms': integerField(100, 3_600_000).default(60_000),
    /** Time between reporting not ready and closing the listener, in which load balancers notice the change. */
    'notice-ms': integerField(0, 600_000).default(2_000),
    'tls-certificate': textField().optional(),
    'tls-key': textField().optional(),
  }),
  routing: z.strictObject({
    /** How a replica group is chosen; strategies other than `expected` exist for comparison only. */
    strategy: z
      .enum(ROUTING_STRATEGIES, { message: `must be one of ${ROUTING_STRATEGIES.join(', ')}` })
      .default('expected'),
  }),
  limits: z.strictObject({
    /** Number of requests that may wait per model. */
    'queue-length': integerField(0, 1_000_000).default(2_000),
    /** Retries allowed, as a share of requests (0 to 1). */
    'retry-share': numberField(0, 1).default(0.1),
    /** Memory limit for stored answers of keyed requests, in bytes. */
    'answer-bytes': integerField(0, 1_000_000_000).default(8_000_000),
  }),
};

/** Settings of a gateway, as parsed by `gatewaySchema`. */
export type GatewaySettings = SettingsOf<typeof gatewaySchema>;
