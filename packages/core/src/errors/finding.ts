/** Findings: problems in a text an operator wrote, collected with their place and reported together. */

/** One problem, with the place where it stands. Lines count from 1; 0 means the place is unknown. */
export type Finding = {
  readonly file: string;
  readonly section: string;
  readonly key?: string;
  readonly line: number;
  readonly message: string;
};

/** Formats a finding as `file:line: [section] key: message`. */
export function formatFinding(finding: Finding): string {
  const key = finding.key === undefined ? '' : ` ${finding.key}`;
  return `${finding.file}:${finding.line}: [${finding.section}]${key}: ${finding.message}`;
}

/** Sorts findings by file and line, so that a report reads like the file. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
  return [...findings].sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line);
}
