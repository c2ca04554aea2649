/** Compares reloaded settings with those in force. */
import type { EntryBounds, EntrySettings } from './entry-settings.js';
import type { Log } from './log.js';

/** Names of changed settings: `bounds.FIELD` for bounds, the bare field name for all others. */
export type SettingsChange = {
  /** Settings that take effect immediately. */
  readonly changed: readonly string[];
  /** Settings that take effect when the process is restarted. */
  readonly afterRestart: readonly string[];
};

/** Bounds that are read at each use; running windows and tasks keep copies of the others. */
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

/** Finds which settings differ, and when each change takes effect. */
export function changedSettings(before: EntrySettings, after: EntrySettings): SettingsChange {
  const { bounds: boundsBefore, ...restBefore } = before;
  const { bounds: boundsAfter, ...restAfter } = after;
  const bounds = changedFields(boundsBefore, boundsAfter);
  const rest = changedFields(restBefore, restAfter);
  return {
    changed: bounds.filter(name => LIVE_BOUNDS.has(name)).map(boundsFieldName),
    afterRestart: [...rest, ...bounds.filter(name => !LIVE_BOUNDS.has(name)).map(boundsFieldName)],
  };
}

/** Logs which settings differ, and when each change takes effect. */
export function logSettingsChange(log: Log, before: EntrySettings, after: EntrySettings): void {
  const { changed, afterRestart } = changedSettings(before, after);
  const fields = { changed: changed.join(','), afterRestart: afterRestart.join(',') };
  log.info('settings reloaded', fields);
}

function boundsFieldName(name: string): string {
  return `bounds.${name}`;
}

function changedFields(before: object, after: object): readonly string[] {
  const oldValues = new Map(Object.entries(before));
  return Object.entries(after)
    .filter(([name, value]) => JSON.stringify(oldValues.get(name)) !== JSON.stringify(value))
    .map(([name]) => name);
}
