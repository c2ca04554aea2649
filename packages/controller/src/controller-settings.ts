/** Schema and type of a controller's settings file. */
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

/** Schema of the settings file, by section. */
export const controllerSchema = {
  process: processSection,
  platform: platformSection,
  links: linksSection,
  timing: timingSection,
  log: logSection,
  admin: z.strictObject({
    listen: addressField(),
    /** Operators that may use the administration API, each as `operator-name:sha256-of-key`. */
    operators: listField().refine(
      items => items.every(item => /^[\w.@-]+:[0-9a-f]{64}$/.test(item)),
      'must be NAME:SHA256, separated by commas',
    ),
    'tls-certificate': textField().optional(),
    'tls-key': textField().optional(),
  }),
  orders: z.strictObject({
    /** Shortest time between two sends of the same order to a host, in milliseconds. */
    'retry-ms': integerField(10, 600_000).default(1_000),
    /** How many hosts may load at the same time. */
    'parallel-loads': integerField(1, 10_000).default(64),
  }),
};

/** Parsed settings of a controller. */
export type ControllerSettings = SettingsOf<typeof controllerSchema>;
