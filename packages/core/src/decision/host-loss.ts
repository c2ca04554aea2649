/** The `host-loss` policies in force, and what they answer for a broken group. */
import type { Configuration } from '../configuration/objects.js';
import type { HostLossAnswer, HostLossInput, Program } from '../policies/program.js';
import { compile, runHostLoss } from '../policies/program.js';

const compiled = new WeakMap<Configuration, readonly Program[]>();

/** The first answer that is not `default`; a program that fails answers `default`. */
export function hostLossAnswer(
  configuration: Configuration,
  input: HostLossInput,
): { readonly answer: HostLossAnswer; readonly failures: number } {
  let failures = 0;
  for (const program of programsOf(configuration)) {
    const run = runHostLoss(program, input);
    if (!run.ok) {
      failures += 1;
    } else if (run.value !== 'default') {
      return { answer: run.value, failures };
    }
  }
  return { answer: 'default', failures };
}

// A configuration never changes, so its programs are compiled once.
function programsOf(configuration: Configuration): readonly Program[] {
  let programs = compiled.get(configuration);
  if (programs === undefined) {
    programs = [...configuration.policies.values()].flatMap(policy => {
      const result = policy.hook === 'host-loss' ? compile(policy.hook, policy.program) : undefined;
      return result?.ok === true ? [result.value] : [];
    });
    compiled.set(configuration, programs);
  }
  return programs;
}
