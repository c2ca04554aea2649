/** Evacuations on the administration API: orders are objects in the platform, which all controllers watch. */
import type { Evacuation, FailureDomainId } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import type { PlatformClient, PlatformError, StoredObject } from '@hingescale/object-store';
import { writeEvacuation } from '@hingescale/object-store';

/** What the evacuations need of the controller. */
export type EvacuationOptions = {
  readonly client: PlatformClient;
  /** Failure domains of the configuration in force. */
  readonly failureDomains: () => readonly FailureDomainId[];
  /** The orders that this controller knows; undefined before it has read them. */
  readonly orders: () => readonly Evacuation[] | undefined;
  /** Takes over an order that was written here, so that gateways get it with their next poll. */
  readonly take: (order: StoredObject<Evacuation>) => Promise<void>;
};

const RETRY_AFTER_S = 1;

/** Failure domains that are evacuated now. */
export function listEvacuations({ orders }: EvacuationOptions): readonly Evacuation[] {
  const known = orders();
  if (known === undefined) {
    throw unavailable('this controller has not read the evacuations yet');
  }
  return known.filter(({ evacuated }) => evacuated);
}

/** Writes the order to evacuate a failure domain, or to end its evacuation; returns the order in force. */
export async function orderEvacuation(
  { client, failureDomains, take }: EvacuationOptions,
  failureDomain: FailureDomainId,
  evacuated: boolean,
  operator: string,
): Promise<Evacuation> {
  if (!failureDomains().includes(failureDomain)) {
    const detail = `failure domain ${failureDomain} is not declared`;
    throw new ProblemError({ status: 404, code: 'unknown-object', detail });
  }
  const at = new Date().toISOString();
  const written = await writeEvacuation(client, { failureDomain, evacuated, operator, at });
  if (written.isErr) {
    throw problemOf(written.error);
  }
  await take(written.value);
  return written.value.value;
}

function problemOf(error: PlatformError): ProblemError {
  switch (error.reason) {
    case 'conflict':
      return new ProblemError({
        status: 409,
        code: 'revision-conflict',
        detail: 'another order about this failure domain came first',
        retryAfter: RETRY_AFTER_S,
      });
    case 'unknown':
      return new ProblemError({
        status: 504,
        code: 'write-outcome-unknown',
        detail: `${error.message}; the order may be in force: ask for the list`,
        execution: 'unknown',
      });
    default:
      return unavailable(error.message);
  }
}

function unavailable(detail: string): ProblemError {
  const retryAfter = RETRY_AFTER_S;
  return new ProblemError({ status: 503, code: 'platform-unavailable', detail, retryAfter });
}
