/** INI texts with the place of every section and key, checked by zod schemas. */
import { distance } from 'fastest-levenshtein';
import { parse } from 'ini';
import type { z } from 'zod';

import type { Finding } from '../errors/finding.js';

/** The values of one section, as the INI library gives them. */
export type IniSection = Readonly<Record<string, unknown>>;

/** An INI text with the places of its sections and keys. */
export type IniDocument = {
  readonly file: string;
  readonly sections: ReadonlyMap<string, IniSection>;
  /** Line of each section header and of each `section\0key`. */
  readonly lines: ReadonlyMap<string, number>;
  readonly findings: readonly Finding[];
};

const HEADER = /^\s*\[([^\]]*)\]\s*$/;
const ASSIGNMENT = /^\s*([^;#=\s][^=]*?)\s*(?:\[\])?\s*=/;
/** A name further away than this many edits is not proposed. */
const MAX_PROPOSAL_DISTANCE = 4;

/** Parses an INI text; structural faults become findings. */
export function parseIni(file: string, text: string): IniDocument {
  const lines = new Map<string, number>();
  const findings: Finding[] = [];
  let section = '';
  text.split('\n').forEach((content, index) => {
    const line = index + 1;
    const header = HEADER.exec(content);
    if (header !== null) {
      section = header[1].trim();
      addPlace(section, line, {
        file,
        section,
        line,
        message: 'section appears twice',
      });
      return;
    }
    const assignment = ASSIGNMENT.exec(content);
    if (assignment !== null) {
      const key = assignment[1];
      const twice: Finding = {
        file,
        section,
        key,
        line,
        message: 'key appears twice',
      };
      addPlace(placeOf(section, key), line, twice);
    } else if (content.trim() !== '' && !/^\s*[;#]/.test(content)) {
      findings.push({
        file,
        section,
        line,
        message: 'not a section, a key or a comment',
      });
    }
  });

  function addPlace(place: string, line: number, twice: Finding): void {
    if (lines.has(place)) {
      findings.push(twice);
    } else {
      lines.set(place, line);
    }
  }

  return { file, sections: readSections(text), lines, findings };
}

/** The line of a key, or of its section when the key is absent; 0 when neither is there. */
export function lineOf(document: IniDocument, section: string, key?: string): number {
  const ofKey = key === undefined ? undefined : document.lines.get(placeOf(section, key));
  return ofKey ?? document.lines.get(section) ?? 0;
}

/** Checks one section; on faults adds findings and returns undefined. */
export function checkSection<T>(
  document: IniDocument,
  section: string,
  schema: z.ZodType<T>,
  knownKeys: readonly string[],
  findings: Finding[],
): T | undefined {
  const result = schema.safeParse(document.sections.get(section) ?? {});
  if (result.success) {
    return result.data;
  }
  for (const issue of result.error.issues) {
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) {
        findings.push(findingAt(document, section, key, unknownName('key', key, knownKeys)));
      }
    } else {
      const key = issue.path.length === 0 ? undefined : String(issue.path[0]);
      findings.push(findingAt(document, section, key, issue.message));
    }
  }
  return undefined;
}

/** A finding with the place of a key in a document. */
export function findingAt(
  document: IniDocument,
  section: string,
  key: string | undefined,
  message: string,
): Finding {
  return {
    file: document.file,
    section,
    key,
    line: lineOf(document, section, key),
    message,
  };
}

/** Text for an unknown name, with the nearest known one where there is one near. */
export function unknownName(kind: string, name: string, known: readonly string[]): string {
  const nearest = [...known].sort((a, b) => distance(a, name) - distance(b, name))[0];
  const near = nearest !== undefined && distance(nearest, name) <= MAX_PROPOSAL_DISTANCE;
  return near
    ? `unknown ${kind} '${name}'; did you mean '${nearest}'?`
    : `unknown ${kind} '${name}'`;
}

function placeOf(section: string, key: string): string {
  return `${section}\0${key}`;
}

// The library splits section names at dots; escaping keeps `[model glm-4.7]` in one piece.
function readSections(text: string): Map<string, IniSection> {
  const escaped = text
    .split('\n')
    .map(line => (HEADER.test(line) ? line.replaceAll('.', '\\.') : line))
    .join('\n');
  const sections = new Map<string, IniSection>();
  for (const [name, value] of Object.entries(parse(escaped))) {
    if (typeof value === 'object' && value !== null) {
      sections.set(name.trim(), value as IniSection);
    } else {
      const top = sections.get('') ?? {};
      sections.set('', { ...top, [name]: value });
    }
  }
  return sections;
}
