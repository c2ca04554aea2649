/** Fills the deploy file's template of settings, as DEPLOY.md tells, and reads how an entry host is started. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The words of the deploy file's `run`, and the text of its template. */
export function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)[1];
  return {
    words: value('run').split(' '),
    template: readFileSync(join(ROOT, value('template')), 'utf8'),
  };
}

/** Fills the gaps that this project's template has: values, and sections over tables. */
export function fill(template, fields) {
  const valueOf = path =>
    path
      .split('.')
      .reduce((value, key) => (value === undefined ? undefined : value[key]), fields) ?? '';
  const withSections = template.replace(
    /\{\{#(\w+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_all, name, inner) =>
      Object.entries(fields[name] ?? {})
        .map(([key, value]) => inner.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value)))
        .join(''),
  );
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(valueOf(path)));
}
