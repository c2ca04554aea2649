/** Sends non-repeatable service calls with idempotency keys and counts how often they ran. */
import type { CallerAnswer } from './caller.js';
import type { Deployment } from './deployment.js';
import { eventually } from './deployment.js';

/** Sends the service call that belongs to an idempotency key through a gateway. */
export function deliver(
  deployment: Deployment,
  address: string,
  key: string,
): Promise<CallerAnswer> {
  return deployment.caller.send({
    address,
    key: deployment.key(),
    path: `/services/${deployment.profile.service}/settlements`,
    headers: { 'idempotency-key': key },
    body: { key },
  });
}

/** Counts how often the call of an idempotency key ran, over all service runners. */
export function runsOf(deployment: Deployment, key: string): number {
  const body = JSON.stringify({ key });
  return deployment.services.flatMap(service => service.runs).filter(run => run.body === body)
    .length;
}

/** Requests a new idempotency key from a gateway; returns '' when the gateway issues none. */
export async function issueKey(deployment: Deployment, address: string): Promise<string> {
  const call = { address, key: deployment.key(), path: '/v1/idempotency-keys', body: {} };
  const answer = await deployment.caller.send(call);
  return (JSON.parse(answer.body) as { key?: string }).key ?? '';
}

/** Waits until each of these gateways (by default all) issues idempotency keys. */
export async function waitForKeyIssue(
  deployment: Deployment,
  addresses = deployment.gateways.map(gateway => gateway.address),
): Promise<void> {
  await eventually('gateways issue idempotency keys', async () => {
    const keys = await Promise.all(addresses.map(address => issueKey(deployment, address)));
    return keys.every(key => key !== '');
  });
}
