/** Reads the INI files of a configuration from paths and directories. */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { basename, join } from 'node:path';

import type { ConfigurationFile } from '@hingescale/core';

/** Reads the given files and all `.ini` files of the given directories, sorted by name. */
export function readFiles(paths: readonly string[]): ConfigurationFile[] {
  return paths
    .flatMap(path => (statSync(path).isDirectory() ? iniFilesIn(path) : [path]))
    .map(path => ({ name: basename(path), text: readFileSync(path, 'utf8') }))
    .sort((a, b) => a.name.localeCompare(b.name));
}

function iniFilesIn(directory: string): string[] {
  return readdirSync(directory)
    .filter(name => name.endsWith('.ini'))
    .map(name => join(directory, name));
}
