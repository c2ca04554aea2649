/** Policy programs: CEL expressions. They are checked before a configuration is accepted. */
import { Environment } from '@marcbachmann/cel-js';

import type { PolicyHook } from '../configuration/objects.js';

/** Variables of the `priority` hook, which describe a request. */
export type PriorityInput = {
  readonly workspace: string;
  readonly model: string;
  readonly streaming: boolean;
  readonly promptTokens: number;
  readonly waitedMs: number;
};

/** Variables of the `capacity` hook, which describe a workspace's use of a model. */
export type CapacityInput = {
  readonly workspace: string;
  readonly model: string;
  readonly share: number;
  /** Number of ready replicas of the model. */
  readonly ready: number;
  /** Number of wanted replicas of the model. */
  readonly wanted: number;
};

/** Variables of the `host-loss` hook, which describe a suspended group. */
export type HostLossInput = {
  readonly model: string;
  readonly importance: number;
  /** Number of members of the group. */
  readonly hosts: number;
  /** Number of missing members. */
  readonly missing: number;
  /** Milliseconds since the group was suspended. */
  readonly missingMs: number;
  /** Number of free hosts in the group's fabric domain. */
  readonly spares: number;
  /** Estimated milliseconds until replacements have loaded the model. */
  readonly loadMs: number;
  /** Number of other ready replicas of the model. */
  readonly ready: number;
};

/** Answers of the `host-loss` hook; `default` leaves the choice to the decision function. */
export const HOST_LOSS_ANSWERS = ['default', 'wait', 'repair', 'dissolve'] as const;
/** An answer of the `host-loss` hook. */
export type HostLossAnswer = (typeof HOST_LOSS_ANSWERS)[number];

/** Largest number of syntax nodes in a program. Programs have no loops, so it also bounds the cost of a run. */
export const MAX_PROGRAM_NODES = 64;

const NUMBER_RESULTS: readonly string[] = ['int', 'double'];

// The variables of a hook with their CEL types, and the CEL types that its result may have.
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

/** Result of compiling or running a program: its value, or the reason why it failed and the default applies. */
export type PolicyRun<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

/** A compiled and type-checked program. */
export type CompiledPolicy = (input: Readonly<Record<string, unknown>>) => unknown;

/** Returns the error messages of a program (syntax, names, types, result type, size); empty when it is valid. */
export function checkPolicy(hook: PolicyHook, program: string): string[] {
  const compiled = compilePolicy(hook, program);
  return compiled.ok ? [] : [compiled.reason];
}

/** Compiles a program for a hook and checks its types. */
export function compilePolicy(hook: PolicyHook, program: string): PolicyRun<CompiledPolicy> {
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
        reason: `program returns ${check.type}, but the hook requires ${wanted}`,
      };
    }
    return { ok: true, value: parsed as CompiledPolicy };
  } catch (error) {
    return { ok: false, reason: firstLine(error) };
  }
}

/** Runs a program whose result must be a number between `min` and `max`. */
export function runNumericPolicy(
  program: CompiledPolicy,
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

/** Runs a `host-loss` program, whose result must be one of `HOST_LOSS_ANSWERS`. */
export function runHostLossPolicy(
  program: CompiledPolicy,
  input: HostLossInput,
): PolicyRun<HostLossAnswer> {
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

function runSafely(program: CompiledPolicy, input: object): PolicyRun<unknown> {
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

// The library appends the marked source to its messages; the configuration error that reports this names the place.
function firstLine(error: unknown): string {
  const message = error instanceof Error ? error.message : String(error);
  return message.split('\n')[0];
}
