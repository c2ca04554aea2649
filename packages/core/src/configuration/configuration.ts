/** Parses and validates a configuration from its INI files, and reports all findings together. */
import { Result } from 'true-myth';
import type { z } from 'zod';

import type { Finding } from '../errors/finding.js';
import { sortFindings } from '../errors/finding.js';
import { checkPolicy } from '../policies/program.js';
import type { IniDocument } from './ini-document.js';
import { checkSection, findingAt, parseIni, unknownNameMessage } from './ini-document.js';
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

/** Name and text of one INI file of a configuration. */
export type ConfigurationFile = {
  readonly name: string;
  readonly text: string;
};

/** Maximum size of a file in bytes; the platform stores values of up to a megabyte. */
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

/** Document and section that declare an object, for findings of checks across objects. */
type Declaration = { readonly document: IniDocument; readonly section: string };

/** State of one parse: the objects read so far, where they are declared, and the findings. */
type ParseState = {
  readonly collections: Record<ObjectKind['collection'], Map<string, unknown>>;
  readonly declarations: Map<unknown, Declaration>;
  readonly findings: Finding[];
  deployment: Configuration['deployment'] | undefined;
};

/** Parses and validates all files; returns the configuration, or every finding in them. */
export function readConfiguration(
  files: readonly ConfigurationFile[],
): Result<Configuration, Finding[]> {
  const state = createParseState();
  for (const file of files) {
    readFile(file, state);
  }
  if (state.deployment === undefined && state.findings.length === 0) {
    const file = files[0]?.name ?? 'configuration';
    state.findings.push({
      file,
      section: 'deployment',
      line: 0,
      message: 'section is missing',
    });
  }
  const configuration = {
    ...state.collections,
    deployment: state.deployment,
  } as unknown as Configuration;
  checkReferences(configuration, state);
  checkPolicies(configuration, state);
  if (state.findings.length > 0) {
    return Result.err(sortFindings(state.findings));
  }
  return Result.ok(configuration);
}

function createParseState(): ParseState {
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
    declarations: new Map(),
    findings: [],
    deployment: undefined,
  };
}

function readFile(file: ConfigurationFile, state: ParseState): void {
  if (Buffer.byteLength(file.text) > MAX_FILE_BYTES) {
    const message = `file is larger than ${MAX_FILE_BYTES} bytes; split it`;
    state.findings.push({ file: file.name, section: '', line: 0, message });
    return;
  }
  const document = parseIni(file.name, file.text);
  state.findings.push(...document.findings);
  for (const section of document.sections.keys()) {
    readSection(document, section, state);
  }
}

function readSection(document: IniDocument, section: string, state: ParseState): void {
  if (section === 'deployment') {
    const keys = Object.keys(deploymentSchema.shape);
    state.deployment = checkSection(document, section, deploymentSchema, keys, state.findings);
    return;
  }
  const space = section.indexOf(' ');
  const kindName = space < 0 ? section : section.slice(0, space);
  const name = space < 0 ? '' : section.slice(space + 1).trim();
  const kind = KINDS.get(kindName);
  if (kind === undefined) {
    const kindNames = ['deployment', ...KINDS.keys()];
    const message = unknownNameMessage('kind of object', kindName, kindNames);
    state.findings.push(findingAt(document, section, undefined, message));
    return;
  }
  if (!/^[\w.:-]+$/.test(name)) {
    const message = 'a name of letters, digits, ".", ":", "_" and "-" must follow the kind';
    state.findings.push(findingAt(document, section, undefined, message));
    return;
  }
  const keys = Object.keys(kind.schema.shape);
  const object = checkSection(document, section, kind.schema, keys, state.findings);
  const collection = state.collections[kind.collection];
  if (collection.has(name)) {
    const message = `${kindName} ${name} is also declared in another file`;
    state.findings.push(findingAt(document, section, undefined, message));
  } else if (object !== undefined) {
    collection.set(name, object);
    state.declarations.set(object, { document, section });
  }
}

function checkReferences(configuration: Configuration, state: ParseState): void {
  const requireKnown = (
    owner: unknown,
    key: string,
    kind: string,
    name: string,
    known: Iterable<string>,
  ) => {
    const names = [...known];
    if (!names.includes(name)) {
      addFinding(state, owner, key, unknownNameMessage(kind, name, names));
    }
  };
  const { models, adapters, services, upstreams } = configuration;
  for (const model of models.values()) {
    requireKnown(model, 'upstream', 'upstream', model.upstream, upstreams.keys());
    model.adapters.forEach(name => {
      requireKnown(model, 'adapters', 'adapter', name, adapters.keys());
    });
  }
  for (const adapter of adapters.values()) {
    requireKnown(adapter, 'model', 'model', adapter.model, models.keys());
  }
  for (const level of configuration.serviceLevels.values()) {
    requireKnown(level, 'model', 'model', level.model, models.keys());
  }
  for (const workspace of configuration.workspaces.values()) {
    workspace.models.forEach(name => {
      requireKnown(workspace, 'models', 'model', name, ['*', ...models.keys()]);
    });
    workspace.services.forEach(name => {
      requireKnown(workspace, 'services', 'service', name, ['*', ...services.keys()]);
    });
  }
}

function checkPolicies(configuration: Configuration, state: ParseState): void {
  for (const policy of configuration.policies.values()) {
    for (const message of checkPolicy(policy.hook, policy.program)) {
      addFinding(state, policy, 'program', message);
    }
  }
}

function addFinding(state: ParseState, owner: unknown, key: string, message: string): void {
  const declaration = state.declarations.get(owner);
  if (declaration !== undefined) {
    state.findings.push(findingAt(declaration.document, declaration.section, key, message));
  }
}
