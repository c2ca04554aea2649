/** Policy programs: CEL expressions that are checked when a configuration is accepted. */
import { Environment } from '@marcbachmann/cel-js';

import type { PolicyHook } from '../configuration/objects.js';

/** What the `priority` hook sees of a request. */
export type PriorityInput = {
  readonly workspace: string;
  readonly model: string;
  readonly streaming: boolean;
  readonly promptTokens: number;
  readonly waitedMs: number;
};

/** What the `capacity` hook sees of a workspace. */
export type CapacityInput = {
  readonly workspace: string;
  readonly model: string;
  readonly share: number;
  /** Ready replicas of the model, and how many are wanted. */
  readonly ready: number;
  readonly wanted: number;
};

/** What the `host-loss` hook sees of a group with a missing member. */
export type HostLossInput = {
  readonly model: string;
  readonly importance: number;
  readonly hosts: number;
  readonly missing: number;
  readonly missingMs: number;
  readonly spares: number;
  readonly loadMs: number;
  /** Other ready replicas of the model. */
  readonly ready: number;
};

/** Answers of the `host-loss` hook; `default` leaves the choice to the decision function. */
export const HOST_LOSS_ANSWERS = ['default', 'wait', 'repair', 'dissolve'] as const;
/** One of the answers of the `host-loss` hook. */
export type HostLossAnswer = (typeof HOST_LOSS_ANSWERS)[number];

/** Bound on the syntax nodes of a program; without loops it bounds the cost of a run. */
export const MAX_PROGRAM_NODES = 64;

const NUMBER_RESULTS: readonly string[] = ['int', 'double'];

type HookType = {
  readonly variables: Readonly<Record<string, string>>;
  readonly results: readonly string[];
};

const HOOK_TYPES: Readonly<Record<PolicyHook, HookType>> = {
  priority: {
    variables: {
      workspace: 'string',
      model: 'string',
      streaming: 'bool',
      promptTokens: 'double',
      waitedMs: 'double',
    },
    results: NUMBER_RESULTS,
  },
  capacity: {
    variables: {
      workspace: 'string',
      model: 'string',
      share: 'double',
      ready: 'double',
      wanted: 'double',
    },
    results: NUMBER_RESULTS,
  },
  'host-loss': {
    variables: {
      model: 'string',
      importance: 'double',
      hosts: 'double',
      missing: 'double',
      missingMs: 'double',
      spares: 'double',
      loadMs: 'double',
      ready: 'double',
    },
    results: ['string'],
  },
};

/** Result of running a program: its value, or the reason why the default applies. */
export type PolicyRun<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

/** A checked program, ready to run. */
export type Program = (input: Readonly<Record<string, unknown>>) => unknown;

/** Messages for everything wrong with a program: syntax, names, types, result type, size. */
export function checkPolicy(hook: PolicyHook, program: string): string[] {
  const compiled = compile(hook, program);
  return compiled.ok ? [] : [compiled.reason];
}

/** Compiles a program for a hook. */
export function compile(hook: PolicyHook, program: string): PolicyRun<Program> {
  try {
    const parsed = environmentFor(hook).parse(program);
    const check = parsed.check();
    if (!check.valid) {
      return { ok: false, reason: firstLine(check.error) };
    }
    const { results } = HOOK_TYPES[hook];
    if (check.type === undefined || !results.includes(check.type)) {
      const wanted = results.join(' or ');
      return {
        ok: false,
        reason: `program gives ${check.type}, the hook needs ${wanted}`,
      };
    }
    return { ok: true, value: parsed as Program };
  } catch (error) {
    return { ok: false, reason: firstLine(error) };
  }
}

/** Runs a program that must give a number within bounds. */
export function runNumber(
  program: Program,
  input: PriorityInput | CapacityInput,
  min: number,
  max: number,
): PolicyRun<number> {
  const run = runSafely(program, input);
  if (!run.ok) {
    return run;
  }
  const value = Number(run.value);
  if (!Number.isFinite(value) || value < min || value > max) {
    return {
      ok: false,
      reason: `result ${String(run.value)} is not between ${min} and ${max}`,
    };
  }
  return { ok: true, value };
}

/** Runs a `host-loss` program. */
export function runHostLoss(program: Program, input: HostLossInput): PolicyRun<HostLossAnswer> {
  const run = runSafely(program, input);
  if (!run.ok) {
    return run;
  }
  const answer = HOST_LOSS_ANSWERS.find(candidate => candidate === run.value);
  if (answer === undefined) {
    const known = HOST_LOSS_ANSWERS.join(', ');
    return {
      ok: false,
      reason: `result '${String(run.value)}' is not one of ${known}`,
    };
  }
  return { ok: true, value: answer };
}

function runSafely(program: Program, input: object): PolicyRun<unknown> {
  try {
    return { ok: true, value: program(input as Record<string, unknown>) };
  } catch (error) {
    return { ok: false, reason: firstLine(error) };
  }
}

function environmentFor(hook: PolicyHook): Environment {
  const environment = new Environment({
    limits: { maxAstNodes: MAX_PROGRAM_NODES },
  });
  for (const [name, type] of Object.entries(HOOK_TYPES[hook].variables)) {
    environment.registerVariable(name, type);
  }
  return environment;
}

// The library appends the source with a marker; a finding already carries the place.
function firstLine(error: unknown): string {
  const message = error instanceof Error ? error.message : String(error);
  return message.split('\n')[0];
}
