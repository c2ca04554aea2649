/** Settings of a process, from an INI file and environment variables; all findings are reported together. */
import { readFileSync } from 'node:fs';

import type { Finding } from '@hingescale/core';
import {
  addressField,
  checkSection,
  findingAt,
  integerField,
  listField,
  parseIni,
  sortFindings,
  textField,
  unknownNameMessage,
  urlField,
} from '@hingescale/core';
import { Result } from 'true-myth';
import { z } from 'zod';

import { LOG_FORMATS, LOG_LEVELS } from './log.js';

/** Prefix of environment variables that override settings: `HINGESCALE_SECTION_KEY`. */
export const ENVIRONMENT_PREFIX = 'HINGESCALE_';

/** Schemas of the sections of a settings file, by section name. */
export type SettingsSchema = Readonly<Record<string, z.ZodObject>>;

/** Type of the settings that a schema describes. */
export type SettingsOf<S extends SettingsSchema> = {
  readonly [Section in keyof S]: z.infer<S[Section]>;
};

/** `[process]`: name and failure domain of the process. */
export const processSection = z.strictObject({
  name: textField(),
  'failure-domain': textField(),
});

/** `[platform]`: URL and time limits of the platform's API. */
export const platformSection = z.strictObject({
  url: urlField(),
  'timeout-ms': integerField(10, 60_000).default(2_000),
  'watch-wait-ms': integerField(10, 120_000).default(20_000),
});

/** `[links]`: connections between processes of the system. */
export const linksSection = z.strictObject({
  listen: addressField(),
  /** Shared key by which processes of the system authenticate each other. */
  key: textField().refine(key => key.length >= 16, 'must have at least 16 characters'),
  /** Controllers of the same failure domain. */
  controllers: listField(),
  /** Controllers of other failure domains, with which configuration is exchanged. */
  'remote-controllers': listField(),
});

/** `[timing]`: periods and lifetimes in milliseconds. */
export const timingSection = z.strictObject({
  'heartbeat-ms': integerField(10, 10_000).default(250),
  'probe-ms': integerField(10, 10_000).default(250),
  'certificate-ms': integerField(50, 60_000).default(1_500),
  'lease-ms': integerField(100, 120_000).default(3_000),
  'key-lease-ms': integerField(100, 600_000).default(6_000),
  'key-memory-ms': integerField(1_000, 86_400_000).default(600_000),
  'clock-skew-ms': integerField(0, 600_000).default(5_000),
  'drain-ms': integerField(100, 3_600_000).default(120_000),
  /** Time without a report from a failure domain after which the others take over its replicas. */
  'absent-ms': integerField(100, 86_400_000).default(60_000),
});

/** `[log]`: level and format of log lines. */
export const logSection = z.strictObject({
  level: z.enum(LOG_LEVELS, { message: `must be one of ${LOG_LEVELS.join(', ')}` }).default('info'),
  format: z
    .enum(LOG_FORMATS, { message: `must be one of ${LOG_FORMATS.join(', ')}` })
    .default('text'),
});

/** Checks the text of a settings file with environment overrides; returns the settings or all findings. */
export function checkSettings<S extends SettingsSchema>(
  file: string,
  text: string,
  schema: S,
  environment: NodeJS.ProcessEnv = {},
): Result<SettingsOf<S>, Finding[]> {
  const document = parseIni(file, text);
  const findings: Finding[] = [...document.findings];
  const sections = new Map(document.sections);
  overrideFromEnvironment(sections, schema, environment);
  const effective = { ...document, sections };
  for (const section of sections.keys()) {
    if (!(section in schema)) {
      const message = unknownNameMessage('section', section, Object.keys(schema));
      findings.push(findingAt(document, section, undefined, message));
    }
  }
  const values: Record<string, unknown> = {};
  for (const [section, sectionSchema] of Object.entries(schema)) {
    const keys = Object.keys(sectionSchema.shape);
    values[section] = checkSection(effective, section, sectionSchema, keys, findings);
  }
  if (findings.length > 0) {
    return Result.err(sortFindings(findings));
  }
  return Result.ok(values as SettingsOf<S>);
}

/** Reads and checks a settings file; a file that cannot be read is a finding too. */
export function readSettings<S extends SettingsSchema>(
  file: string,
  schema: S,
  environment: NodeJS.ProcessEnv = process.env,
): Result<SettingsOf<S>, Finding[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = `can not be read: ${(error as Error).message}`;
    return Result.err([{ file, section: '', line: 0, message }]);
  }
  return checkSettings(file, text, schema, environment);
}

function overrideFromEnvironment(
  sections: Map<string, Readonly<Record<string, unknown>>>,
  schema: SettingsSchema,
  environment: NodeJS.ProcessEnv,
): void {
  for (const [section, sectionSchema] of Object.entries(schema)) {
    for (const key of Object.keys(sectionSchema.shape)) {
      const variable = ENVIRONMENT_PREFIX + `${section}_${key}`.toUpperCase().replaceAll('-', '_');
      const value = environment[variable];
      if (value !== undefined) {
        sections.set(section, { ...sections.get(section), [key]: value });
      }
    }
  }
}
