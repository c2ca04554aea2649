/** Settings of a controller. */
import { addressField, integerField, listField, textField } from '@hingescale/core';
import type { SettingsOf } from '@hingescale/runtime';
import {
  linksSection,
  logSection,
  platformSection,
  processSection,
  timingSection,
} from '@hingescale/runtime';
import { z } from 'zod';

/** Schema of the settings file. */
export const controllerSchema = {
  process: processSection,
  platform: platformSection,
  links: linksSection,
  timing: timingSection,
  log: logSection,
  admin: z.strictObject({
    listen: addressField(),
    /** `operator-name:sha256-of-key` of each operator. */
    operators: listField().refine(
      items => items.every(item => /^[\w.@-]+:[0-9a-f]{64}$/.test(item)),
      'must be NAME:SHA256, separated by commas',
    ),
    'tls-certificate': textField().optional(),
    'tls-key': textField().optional(),
  }),
  orders: z.strictObject({
    /** Shortest time between two orders of the same kind to a host. */
    'retry-ms': integerField(10, 600_000).default(1_000),
    /** Hosts that may load at the same time. */
    'parallel-loads': integerField(1, 10_000).default(64),
  }),
};

/** Settings of a controller. */
export type ControllerSettings = SettingsOf<typeof controllerSchema>;
