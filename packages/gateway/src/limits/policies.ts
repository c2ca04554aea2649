/**
 * Runs the policy programs of the gateway's hooks. They are compiled once per configuration revision. A
 * program that fails is counted and left out; if no program gives a value, the default applies.
 */
import type { CapacityInput, CompiledPolicy, Configuration, PriorityInput } from '@hingescale/core';
import { compilePolicy, runNumericPolicy } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';

/** Priority (0 to 100) of a request if no policy sets one. */
export const DEFAULT_PRIORITY = 50;
const MAX_PRIORITY = 100;

/** The compiled policies of the current configuration. */
export class GatewayPolicies {
  readonly #metrics: Metrics;
  #priority: CompiledPolicy[] = [];
  #capacity: CompiledPolicy[] = [];

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Compiles the programs of a configuration and replaces the previous ones. */
  apply(configuration: Configuration): void {
    this.#priority = compilePrograms(configuration, 'priority');
    this.#capacity = compilePrograms(configuration, 'capacity');
  }

  /** Priority of a request, 0 to 100: the highest that a program returns, else the default. */
  priority(input: PriorityInput): number {
    const values = this.#run(this.#priority, input, MAX_PRIORITY, 'priority');
    return values.length === 0 ? DEFAULT_PRIORITY : Math.max(...values);
  }

  /** Share of a workspace, 0 to 1: the lowest that a program returns, else the declared share. */
  share(input: CapacityInput): number {
    const values = this.#run(this.#capacity, input, 1, 'capacity');
    return values.length === 0 ? input.share : Math.min(...values);
  }

  #run(
    programs: readonly CompiledPolicy[],
    input: PriorityInput | CapacityInput,
    max: number,
    hook: string,
  ): number[] {
    const values: number[] = [];
    for (const program of programs) {
      const run = runNumericPolicy(program, input, 0, max);
      if (run.ok) {
        values.push(run.value);
      } else {
        this.#metrics.count('policy_failures_total', { hook });
      }
    }
    return values;
  }
}

function compilePrograms(
  configuration: Configuration,
  hook: 'priority' | 'capacity',
): CompiledPolicy[] {
  const programs: CompiledPolicy[] = [];
  for (const policy of configuration.policies.values()) {
    const compiled = policy.hook === hook ? compilePolicy(hook, policy.program) : undefined;
    if (compiled?.ok === true) {
      programs.push(compiled.value);
    }
  }
  return programs;
}
