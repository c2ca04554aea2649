/** Findings: errors in a file written by an operator, collected with their position and reported together. */

/** One error with its position. Lines count from 1; line 0 means that the position is unknown. */
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

/** Sorts findings by file and line, so that a report follows the order of the file. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
  return [...findings].sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line);
}
