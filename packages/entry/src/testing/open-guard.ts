/** A guard for tests whose limits are never reached. */
import type { HttpGuardOptions } from '@hingescale/runtime/http-guard';
import { InputTurns, MemoryBudget } from '@hingescale/runtime/http-guard';

/** Returns options without limits. */
export function openGuard(): HttpGuardOptions {
  return {
    memory: new MemoryBudget(Infinity),
    turns: new InputTurns(),
    maxConnections: Infinity,
    onClosed: () => undefined,
  };
}
