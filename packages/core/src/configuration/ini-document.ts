/** Parses INI texts with the line of every section and key, and validates sections by zod schemas. */
import { distance } from 'fastest-levenshtein';
import { parse } from 'ini';
import type { z } from 'zod';

import type { Finding } from '../errors/finding.js';

/** The values of one section, as the INI library returns them. */
export type IniSection = Readonly<Record<string, unknown>>;

/** A parsed INI text with the lines of its sections and keys. */
export type IniDocument = {
  readonly file: string;
  readonly sections: ReadonlyMap<string, IniSection>;
  /** Line of each section header, by section name, and of each key, by `section\0key`; counted from 1. */
  readonly lines: ReadonlyMap<string, number>;
  readonly findings: readonly Finding[];
};

const HEADER = /^\s*\[([^\]]*)\]\s*$/;
const ASSIGNMENT = /^\s*([^;#=\s][^=]*?)\s*(?:\[\])?\s*=/;
/** Maximum edit distance between an unknown name and a known one that is suggested instead. */
const MAX_SUGGESTION_DISTANCE = 4;

/** Parses an INI text; syntax errors and duplicates become findings. */
export function parseIni(file: string, text: string): IniDocument {
  const lines = new Map<string, number>();
  const findings: Finding[] = [];
  let section = '';
  text.split('\n').forEach((content, index) => {
    const line = index + 1;
    const header = HEADER.exec(content);
    if (header !== null) {
      section = header[1].trim();
      addLine(section, line, {
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
      const duplicate: Finding = {
        file,
        section,
        key,
        line,
        message: 'key appears twice',
      };
      addLine(keyName(section, key), line, duplicate);
    } else if (content.trim() !== '' && !/^\s*[;#]/.test(content)) {
      findings.push({
        file,
        section,
        line,
        message: 'not a section, a key or a comment',
      });
    }
  });

  function addLine(name: string, line: number, duplicate: Finding): void {
    if (lines.has(name)) {
      findings.push(duplicate);
    } else {
      lines.set(name, line);
    }
  }

  return { file, sections: readSections(text), lines, findings };
}

/** Returns the line of a key, or of its section when the key is absent; 0 when both are absent. */
export function lineOf(document: IniDocument, section: string, key?: string): number {
  const keyLine = key === undefined ? undefined : document.lines.get(keyName(section, key));
  return keyLine ?? document.lines.get(section) ?? 0;
}

/** Validates one section; if it is invalid, adds findings and returns undefined. */
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
        findings.push(findingAt(document, section, key, unknownNameMessage('key', key, knownKeys)));
      }
    } else {
      const key = issue.path.length === 0 ? undefined : String(issue.path[0]);
      findings.push(findingAt(document, section, key, issue.message));
    }
  }
  return undefined;
}

/** Creates a finding for a key, or for a section when no key is given, with its file and line. */
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

/** Returns the message for an unknown name, which suggests the most similar known name if there is one. */
export function unknownNameMessage(kind: string, name: string, known: readonly string[]): string {
  const nearest = [...known].sort((a, b) => distance(a, name) - distance(b, name))[0];
  const isSimilar = nearest !== undefined && distance(nearest, name) <= MAX_SUGGESTION_DISTANCE;
  return isSimilar
    ? `unknown ${kind} '${name}'; did you mean '${nearest}'?`
    : `unknown ${kind} '${name}'`;
}

function keyName(section: string, key: string): string {
  return `${section}\0${key}`;
}

// The INI library splits section names at dots into nested objects; escaped dots keep `[model glm-4.7]` one section.
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
      const topLevel = sections.get('') ?? {};
      sections.set('', { ...topLevel, [name]: value });
    }
  }
  return sections;
}
