/** Evacuation requests of the administration API. An order is an object in the platform that all controllers watch. */
import type { Evacuation, FailureDomainId } from '@hingescale/core';
import { ProblemError } from '@hingescale/core';
import type { PlatformClient, PlatformError, StoredObject } from '@hingescale/object-store';
import { writeEvacuation } from '@hingescale/object-store';

/** The parts of the controller that handle evacuations. */
export type EvacuationOptions = {
  readonly client: PlatformClient;
  /** Failure domains of the configuration in force. */
  readonly failureDomains: () => readonly FailureDomainId[];
  /** All evacuation orders, ended ones included; undefined until this controller has read them. */
  readonly orders: () => readonly Evacuation[] | undefined;
  /** Applies an order that this controller has written, so that gateways receive it with their next poll. */
  readonly applyOrder: (order: StoredObject<Evacuation>) => Promise<void>;
};

const RETRY_AFTER_S = 1;

/** Lists the orders in force: one per failure domain that is evacuated now. */
export function listEvacuations({ orders }: EvacuationOptions): readonly Evacuation[] {
  const known = orders();
  if (known === undefined) {
    throw platformUnavailable('this controller has not read the evacuations yet');
  }
  return known.filter(({ evacuated }) => evacuated);
}

/** Writes the order to evacuate a failure domain, or to end its evacuation; returns the order in force. */
export async function orderEvacuation(
  { client, failureDomains, applyOrder }: EvacuationOptions,
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
    throw toProblem(written.error);
  }
  await applyOrder(written.value);
  return written.value.value;
}

function toProblem(error: PlatformError): ProblemError {
  switch (error.reason) {
    case 'conflict':
      return new ProblemError({
        status: 409,
        code: 'revision-conflict',
        detail: 'another order for this failure domain was written at the same time',
        retryAfter: RETRY_AFTER_S,
      });
    case 'unknown':
      return new ProblemError({
        status: 504,
        code: 'write-outcome-unknown',
        detail: `${error.message}; the order may be in force: list the evacuations to check`,
        execution: 'unknown',
      });
    default:
      return platformUnavailable(error.message);
  }
}

function platformUnavailable(detail: string): ProblemError {
  const retryAfter = RETRY_AFTER_S;
  return new ProblemError({ status: 503, code: 'platform-unavailable', detail, retryAfter });
}
