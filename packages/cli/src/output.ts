/** Formats the output of the command line: text for people, JSON for programs. */
import type { ControllerStatus, ExplainedOrder } from '@hingescale/controller';
import type { ConfigurationFile, ConfigurationHead, Evacuation } from '@hingescale/core';

/** Writes a text and a line break to standard output. */
export function print(text: string): void {
  process.stdout.write(text + '\n');
}

/** Writes a value to standard output as indented JSON. */
export function printJson(value: unknown): void {
  print(JSON.stringify(value, undefined, 2));
}

/** Formats the status of each failure domain, from its active controller or, if none is active, from another one. */
export function statusText(statuses: readonly ControllerStatus[]): string {
  const byDomain = new Map<string, ControllerStatus>();
  for (const status of statuses) {
    const known = byDomain.get(status.failureDomain);
    if (known === undefined || (status.active && !known.active)) {
      byDomain.set(status.failureDomain, status);
    }
  }
  return [...byDomain.values()].map(domainText).join('\n\n');
}

/** Formats the revisions of a configuration, newest first. */
export function historyText(head: ConfigurationHead): string {
  return [head, ...head.history]
    .map(entry => [entry.revision, entry.acceptedAt, entry.operator, entry.note || '-'].join('  '))
    .join('\n');
}

/** Formats the evacuated failure domains, one per line. */
export function evacuationsText(evacuations: readonly Evacuation[]): string {
  return evacuations.length === 0
    ? 'no failure domain is evacuated'
    : evacuations
        .map(({ failureDomain, at, operator }) => `${failureDomain}  since ${at}  by ${operator}`)
        .join('\n');
}

/** Formats orders with their reasons and the scores of the alternatives. */
export function explanationText(orders: readonly ExplainedOrder[]): string {
  return orders
    .map(order => {
      const scores = order.alternatives.map(({ name, score }) => `${name} ${formatScore(score)}`);
      const alternatives = scores.length === 0 ? '' : ` [${scores.join('; ')}]`;
      return `${order.at}  ${order.group || order.fabricDomain}: ${order.kind}: ${order.reason}${alternatives}`;
    })
    .join('\n');
}

/** Lists the lines removed from and added to each file, irrespective of their order. */
export function diffText(
  before: readonly ConfigurationFile[],
  after: readonly ConfigurationFile[],
): string {
  const names = new Set([...before, ...after].map(file => file.name));
  return [...names]
    .sort()
    .flatMap(name => {
      const oldLines = linesOf(before, name);
      const newLines = linesOf(after, name);
      const removed = oldLines.filter(line => !newLines.includes(line)).map(line => `- ${line}`);
      const added = newLines.filter(line => !oldLines.includes(line)).map(line => `+ ${line}`);
      const changes = [...removed, ...added];
      return changes.length === 0 ? [] : [`${name}:`, ...changes];
    })
    .join('\n');
}

function domainText(status: ControllerStatus): string {
  const certified = new Set(status.certificates.map(certificate => certificate.group));
  const groups = status.groups.map(group => {
    const certification = certified.has(group.id) ? 'certified' : 'not certified';
    const { model, version } = group.content;
    return `  group ${group.id}  ${group.state}  ${certification}  ${model}@${version}  epoch ${group.epoch}`;
  });
  const freeHosts = status.hosts.filter(host => host.group === '');
  const processes = [
    `  controller ${status.controller}  revision ${status.revision}  ${status.active ? 'active' : 'not active'}`,
    ...status.controllers
      .filter(peer => peer.controller !== '')
      .map(peer => `  controller ${peer.controller}  revision ${peer.revision}`),
    ...status.gateways.map(gateway => {
      const leaving = gateway.leaving ? '  leaving' : '';
      return `  gateway ${gateway.instance}  revision ${gateway.revision}${leaving}`;
    }),
  ];
  return [
    `${status.failureDomain}: lease epoch ${status.lease?.epoch ?? 0}, revision ${status.revision}`,
    ...groups,
    `  hosts: ${status.hosts.length}, of these free ${freeHosts.length}, silent ${status.hosts.filter(host => !host.answering).length}, drained ${status.hosts.filter(host => host.cordoned).length}`,
    ...processes,
  ].join('\n');
}

function linesOf(files: readonly ConfigurationFile[], name: string): string[] {
  const text = files.find(file => file.name === name)?.text ?? '';
  return text.split('\n').filter(line => line.trim() !== '');
}

function formatScore(score: number): string {
  return Number.isFinite(score) ? score.toFixed(1) : 'impossible';
}
