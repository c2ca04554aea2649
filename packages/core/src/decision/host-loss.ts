/** Runs the configured `host-loss` policies for a suspended group. */
import type { Configuration } from '../configuration/objects.js';
import type { CompiledPolicy, HostLossAnswer, HostLossInput } from '../policies/program.js';
import { compilePolicy, runHostLossPolicy } from '../policies/program.js';

const compiledPrograms = new WeakMap<Configuration, readonly CompiledPolicy[]>();

/** The first answer other than `default`, and the number of programs that failed before it; a failure is skipped. */
export function hostLossAnswer(
  configuration: Configuration,
  input: HostLossInput,
): { readonly answer: HostLossAnswer; readonly failures: number } {
  let failures = 0;
  for (const program of programsOf(configuration)) {
    const run = runHostLossPolicy(program, input);
    if (!run.ok) {
      failures += 1;
    } else if (run.value !== 'default') {
      return { answer: run.value, failures };
    }
  }
  return { answer: 'default', failures };
}

// A configuration object is immutable, so its programs are compiled once.
function programsOf(configuration: Configuration): readonly CompiledPolicy[] {
  let programs = compiledPrograms.get(configuration);
  if (programs === undefined) {
    programs = [...configuration.policies.values()].flatMap(policy => {
      const result =
        policy.hook === 'host-loss' ? compilePolicy(policy.hook, policy.program) : undefined;
      return result?.ok === true ? [result.value] : [];
    });
    compiledPrograms.set(configuration, programs);
  }
  return programs;
}
