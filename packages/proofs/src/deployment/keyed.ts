/** Deliveries of non-repeatable service calls under idempotency keys, and how often they ran. */
import type { CallerAnswer } from './caller.js';
import type { Deployment } from './deployment.js';
import { eventually } from './deployment.js';

/** Sends the call of a key through a gateway. */
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

/** How often the call of a key ran, over all service runners. */
export function runsOf(deployment: Deployment, key: string): number {
  const body = JSON.stringify({ key });
  return deployment.services.flatMap(service => service.runs).filter(run => run.body === body)
    .length;
}

/** Lets a gateway issue a key. */
export async function issueKey(deployment: Deployment, address: string): Promise<string> {
  const call = { address, key: deployment.key(), path: '/v1/idempotency-keys', body: {} };
  const answer = await deployment.caller.send(call);
  return (JSON.parse(answer.body) as { key?: string }).key ?? '';
}

/** Waits until so many gateways own keys; by default all. */
export async function keysSettled(
  deployment: Deployment,
  addresses = deployment.gateways.map(gateway => gateway.address),
): Promise<void> {
  await eventually('keys are owned', async () => {
    const keys = await Promise.all(addresses.map(address => issueKey(deployment, address)));
    return keys.every(key => key !== '');
  });
}
