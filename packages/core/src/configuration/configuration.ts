/** Reads a configuration from its INI files and reports all findings together. */
import { Result } from 'true-myth';
import type { z } from 'zod';

import type { Finding } from '../errors/finding.js';
import { sortFindings } from '../errors/finding.js';
import { checkPolicy } from '../policies/program.js';
import type { IniDocument } from './ini-document.js';
import { checkSection, findingAt, parseIni, unknownName } from './ini-document.js';
import type { Configuration } from './objects.js';
import {
  adapterSchema,
  deploymentSchema,
  modelSchema,
  policySchema,
  serviceLevelSchema,
  serviceSchema,
  upstreamSchema,
  workspaceSchema,
} from './objects.js';

/** One file of a configuration. */
export type ConfigurationFile = {
  readonly name: string;
  readonly text: string;
};

/** Largest file in bytes; the platform holds values up to a megabyte. */
export const MAX_FILE_BYTES = 900_000;

type ObjectKind = {
  readonly collection: Exclude<keyof Configuration, 'deployment'>;
  readonly schema: z.ZodObject;
};

const KINDS: ReadonlyMap<string, ObjectKind> = new Map([
  ['model', { collection: 'models', schema: modelSchema }],
  ['adapter', { collection: 'adapters', schema: adapterSchema }],
  ['workspace', { collection: 'workspaces', schema: workspaceSchema }],
  ['service', { collection: 'services', schema: serviceSchema }],
  ['upstream', { collection: 'upstreams', schema: upstreamSchema }],
  ['policy', { collection: 'policies', schema: policySchema }],
  ['service-level', { collection: 'serviceLevels', schema: serviceLevelSchema }],
]);

/** An object with the document that declares it, for checks across objects. */
type Declared = { readonly document: IniDocument; readonly section: string };

type Reading = {
  readonly collections: Record<ObjectKind['collection'], Map<string, unknown>>;
  readonly declared: Map<unknown, Declared>;
  readonly findings: Finding[];
  deployment: Configuration['deployment'] | undefined;
};

/** Reads and checks all files; gives the configuration or every finding in them. */
export function readConfiguration(
  files: readonly ConfigurationFile[],
): Result<Configuration, Finding[]> {
  const reading = startReading();
  for (const file of files) {
    readFile(file, reading);
  }
  if (reading.deployment === undefined && reading.findings.length === 0) {
    const file = files[0]?.name ?? 'configuration';
    reading.findings.push({
      file,
      section: 'deployment',
      line: 0,
      message: 'section is missing',
    });
  }
  const configuration = {
    ...reading.collections,
    deployment: reading.deployment,
  } as unknown as Configuration;
  checkReferences(configuration, reading);
  checkPolicies(configuration, reading);
  if (reading.findings.length > 0) {
    return Result.err(sortFindings(reading.findings));
  }
  return Result.ok(configuration);
}

function startReading(): Reading {
  return {
    collections: {
      models: new Map(),
      adapters: new Map(),
      workspaces: new Map(),
      services: new Map(),
      upstreams: new Map(),
      policies: new Map(),
      serviceLevels: new Map(),
    },
    declared: new Map(),
    findings: [],
    deployment: undefined,
  };
}

function readFile(file: ConfigurationFile, reading: Reading): void {
  if (Buffer.byteLength(file.text) > MAX_FILE_BYTES) {
    const message = `file is larger than ${MAX_FILE_BYTES} bytes; split it`;
    reading.findings.push({ file: file.name, section: '', line: 0, message });
    return;
  }
  const document = parseIni(file.name, file.text);
  reading.findings.push(...document.findings);
  for (const section of document.sections.keys()) {
    readSection(document, section, reading);
  }
}

function readSection(document: IniDocument, section: string, reading: Reading): void {
  if (section === 'deployment') {
    const keys = Object.keys(deploymentSchema.shape);
    reading.deployment = checkSection(document, section, deploymentSchema, keys, reading.findings);
    return;
  }
  const space = section.indexOf(' ');
  const kindName = space < 0 ? section : section.slice(0, space);
  const name = space < 0 ? '' : section.slice(space + 1).trim();
  const kind = KINDS.get(kindName);
  if (kind === undefined) {
    const known = ['deployment', ...KINDS.keys()];
    const message = unknownName('kind of object', kindName, known);
    reading.findings.push(findingAt(document, section, undefined, message));
    return;
  }
  if (!/^[\w.:-]+$/.test(name)) {
    const message = 'a name of letters, digits, ".", ":", "_" and "-" must follow the kind';
    reading.findings.push(findingAt(document, section, undefined, message));
    return;
  }
  const keys = Object.keys(kind.schema.shape);
  const object = checkSection(document, section, kind.schema, keys, reading.findings);
  const collection = reading.collections[kind.collection];
  if (collection.has(name)) {
    const message = `${kindName} ${name} is declared in another file too`;
    reading.findings.push(findingAt(document, section, undefined, message));
  } else if (object !== undefined) {
    collection.set(name, object);
    reading.declared.set(object, { document, section });
  }
}

function checkReferences(configuration: Configuration, reading: Reading): void {
  const need = (
    owner: unknown,
    key: string,
    kind: string,
    name: string,
    known: Iterable<string>,
  ) => {
    const names = [...known];
    if (!names.includes(name)) {
      addFinding(reading, owner, key, unknownName(kind, name, names));
    }
  };
  const { models, adapters, services, upstreams } = configuration;
  for (const model of models.values()) {
    need(model, 'upstream', 'upstream', model.upstream, upstreams.keys());
    model.adapters.forEach(name => {
      need(model, 'adapters', 'adapter', name, adapters.keys());
    });
  }
  for (const adapter of adapters.values()) {
    need(adapter, 'model', 'model', adapter.model, models.keys());
  }
  for (const level of configuration.serviceLevels.values()) {
    need(level, 'model', 'model', level.model, models.keys());
  }
  for (const workspace of configuration.workspaces.values()) {
    workspace.models.forEach(name => {
      need(workspace, 'models', 'model', name, ['*', ...models.keys()]);
    });
    workspace.services.forEach(name => {
      need(workspace, 'services', 'service', name, ['*', ...services.keys()]);
    });
  }
}

function checkPolicies(configuration: Configuration, reading: Reading): void {
  for (const policy of configuration.policies.values()) {
    for (const message of checkPolicy(policy.hook, policy.program)) {
      addFinding(reading, policy, 'program', message);
    }
  }
}

function addFinding(reading: Reading, owner: unknown, key: string, message: string): void {
  const place = reading.declared.get(owner);
  if (place !== undefined) {
    reading.findings.push(findingAt(place.document, place.section, key, message));
  }
}
