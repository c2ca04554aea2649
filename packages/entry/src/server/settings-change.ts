/** What reloaded settings change, and what of it waits for the next start. Pure. */
import type { EntryBounds, EntrySettings } from './entry-settings.js';

/** Names of changed settings, as `section.field`. */
export type SettingsChange = {
  /** In force from now on. */
  readonly changed: readonly string[];
  /** In force from the next start of the process. */
  readonly afterRestart: readonly string[];
};

/** Bounds that are read at each use; others are kept in windows and tasks that run. */
const LIVE_BOUNDS: ReadonlySet<string> = new Set<keyof EntryBounds>([
  'keyRevocationMs',
  'keysFailClosed',
  'graceMs',
  'retryRatio',
  'retrySlack',
  'coldOvershoot',
  'coldSlack',
  'limitWindowMs',
  'limitOvershoot',
  'limitSlack',
]);

/** Compares the settings in force with new ones. */
export function changedSettings(before: EntrySettings, after: EntrySettings): SettingsChange {
  const { bounds: boundsBefore, ...restBefore } = before;
  const { bounds: boundsAfter, ...restAfter } = after;
  const bounds = changedFields(boundsBefore, boundsAfter);
  const rest = changedFields(restBefore, restAfter);
  return {
    changed: bounds.filter(name => LIVE_BOUNDS.has(name)).map(inBounds),
    afterRestart: [...rest, ...bounds.filter(name => !LIVE_BOUNDS.has(name)).map(inBounds)],
  };
}

function inBounds(name: string): string {
  return `bounds.${name}`;
}

function changedFields(before: object, after: object): readonly string[] {
  const old = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([name, value]) => JSON.stringify(old.get(name)) !== JSON.stringify(value))
    .map(([name]) => name);
}
