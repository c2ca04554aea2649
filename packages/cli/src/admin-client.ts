/** Client of the administration API; it finds the active controller itself. */
import type { BurnReport, ControllerStatus, ExplainedOrder } from '@hingescale/controller';
import type {
  ConfigurationFile,
  ConfigurationHead,
  ConfigurationRevision,
  Evacuation,
  Finding,
} from '@hingescale/core';
import { monotonicMs, sleep, timeoutSignal } from '@hingescale/runtime';
import { readAnswerText } from '@hingescale/runtime/answer-text';
import { Agent, request } from 'undici';

/** A failed call of the administration API, with the reason that selects the exit code. */
export class AdminError extends Error {
  /** `inactive`: no controller holds the lease at present; one will acquire it. `unknown`: a write may have happened. */
  readonly reason: 'unreachable' | 'conflict' | 'findings' | 'refused' | 'unknown' | 'inactive';
  readonly findings: readonly Finding[];

  constructor(reason: AdminError['reason'], detail: string, findings: readonly Finding[] = []) {
    super(detail);
    this.name = 'AdminError';
    this.reason = reason;
    this.findings = findings;
  }
}

/** URLs of the administration APIs and the operator key. */
export type AdminOptions = { readonly urls: readonly string[]; readonly key: string };

/** Time limit of one HTTP call, in milliseconds. */
const TIMEOUT_MS = 5_000;
/** Longest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Time in milliseconds for which a drain is retried, as the lease may be changing its holder. */
const DRAIN_RETRY_MS = 10_000;
/** Pause between two attempts of a drain, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Reasons that a retry may overcome. */
const TRANSIENT_REASONS: readonly AdminError['reason'][] = ['inactive', 'unknown', 'unreachable'];

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE';

type Answer = { readonly status: number; readonly body: unknown };

/**
 * Calls controllers: all of them for status, explanations and burn reports, the active one of the host's failure domain
 * for drains, and the first that answers for the rest.
 */
export class AdminClient {
  readonly #options: AdminOptions;
  readonly #agent = new Agent({ maxResponseSize: MAX_ANSWER_BYTES });

  constructor(options: AdminOptions) {
    this.#options = options;
  }

  /** Returns the status of every controller that answers. */
  async statuses(): Promise<ControllerStatus[]> {
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', '/v1/status')),
    );
    const statuses = answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => bodyOrThrow(answer.value) as ControllerStatus);
    if (statuses.length === 0) {
      throw new AdminError(
        'unreachable',
        `no controller answers at ${this.#options.urls.join(', ')}`,
      );
    }
    return statuses;
  }

  /** Returns the accepted configuration. */
  async configuration(): Promise<ConfigurationRevision> {
    return (await this.#callFirstAnswering('GET', '/v1/configuration')) as ConfigurationRevision;
  }

  /** Proposes files as the revision after `base`; returns the accepted head. */
  async apply(
    files: readonly ConfigurationFile[],
    base: number,
    note: string,
  ): Promise<ConfigurationHead> {
    return (await this.#callFirstAnswering('POST', '/v1/configuration', {
      base,
      note,
      files,
    })) as ConfigurationHead;
  }

  /** Returns the last orders about a group or a host from every controller that knows it. */
  async explain(name: string): Promise<ExplainedOrder[]> {
    const path = `/v1/explain/${encodeURIComponent(name)}`;
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', path)),
    );
    const orders = answers
      .filter(answer => answer.status === 'fulfilled')
      .filter(answer => answer.value.status === 200)
      .flatMap(answer => (answer.value.body as { orders: ExplainedOrder[] }).orders);
    if (!answers.some(answer => answer.status === 'fulfilled' && answer.value.status === 200)) {
      throw new AdminError('refused', `no group or host ${name} is known`);
    }
    return orders;
  }

  /** Returns the burn reports of all failure domains, each from the controller that receives the gateways' reports. */
  async burn(): Promise<BurnReport[]> {
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', '/v1/report/burn')),
    );
    const reports = answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => bodyOrThrow(answer.value) as BurnReport);
    if (reports.length === 0) {
      throw new AdminError(
        'unreachable',
        `no controller answers at ${this.#options.urls.join(', ')}`,
      );
    }
    return reports.filter(report => report.gateways.length + report.silent.length > 0);
  }

  /**
   * Drains a host, or ends its drain, at the controller that is active for it. Retries while the lease changes its
   * holder; a retry is safe because a drain is idempotent.
   */
  async drain(host: string, draining: boolean): Promise<void> {
    const deadlineMs = monotonicMs() + DRAIN_RETRY_MS;
    for (;;) {
      try {
        await this.#drainOnce(host, draining);
        return;
      } catch (error) {
        const isTransient = error instanceof AdminError && TRANSIENT_REASONS.includes(error.reason);
        if (!isTransient || monotonicMs() > deadlineMs) {
          throw error;
        }
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  async #drainOnce(host: string, draining: boolean): Promise<void> {
    const method = draining ? 'PUT' : 'DELETE';
    const path = `/v1/hosts/${encodeURIComponent(host)}/drain`;
    const statuses = await this.statuses();
    const candidates = statuses.filter(status => status.hosts.some(entry => entry.host === host));
    const active = candidates.find(status => status.active);
    if (active === undefined) {
      const reason = candidates.length === 0 ? 'refused' : 'inactive';
      throw new AdminError(reason, `no active controller knows host ${host}`);
    }
    bodyOrThrow(await this.#send(active.lease?.adminAddress ?? '', method, path));
  }

  /** Evacuates a failure domain, or ends its evacuation; returns the evacuation order in force. */
  async evacuate(failureDomain: string, evacuated: boolean): Promise<Evacuation> {
    const path = `/v1/evacuations/${encodeURIComponent(failureDomain)}`;
    return (await this.#callFirstAnswering(evacuated ? 'PUT' : 'DELETE', path)) as Evacuation;
  }

  /** Returns the failure domains that are evacuated at present. */
  async evacuations(): Promise<readonly Evacuation[]> {
    const { evacuations } = (await this.#callFirstAnswering('GET', '/v1/evacuations')) as {
      evacuations: readonly Evacuation[];
    };
    return evacuations;
  }

  // Calls the controllers in the order of their URLs until one answers.
  async #callFirstAnswering(method: Method, path: string, body?: object): Promise<unknown> {
    for (const url of this.#options.urls) {
      try {
        return bodyOrThrow(await this.#send(url, method, path, body));
      } catch (error) {
        // A POST may have been accepted before the connection broke, so it is not repeated at the next controller.
        // Other methods go on only if this controller was unreachable or could not reach the platform.
        if (error instanceof AdminError && (method === 'POST' || error.reason !== 'unreachable')) {
          throw error;
        }
      }
    }
    throw new AdminError(
      'unreachable',
      `no controller answers at ${this.#options.urls.join(', ')}`,
    );
  }

  async #send(url: string, method: Method, path: string, body?: object): Promise<Answer> {
    try {
      const response = await request(url + path, {
        method,
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.#options.key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: timeoutSignal(TIMEOUT_MS),
      });
      const text = await readAnswerText(response.body, MAX_ANSWER_BYTES);
      return { status: response.statusCode, body: JSON.parse(text) };
    } catch (error) {
      const refused = (error as { code?: string }).code === 'ECONNREFUSED';
      const reason = refused || method === 'GET' ? 'unreachable' : 'unknown';
      throw new AdminError(reason, `${url}: ${(error as Error).message}`);
    }
  }
}

// Returns the body of a successful answer; throws an AdminError for any other.
function bodyOrThrow(answer: Answer): unknown {
  const { status, body } = answer;
  if (status < 300) {
    return body;
  }
  const problem = body as {
    code?: string;
    detail?: string;
    findings?: Finding[];
    current?: { revision: number; operator: string; note: string };
  };
  if (problem.findings !== undefined) {
    throw new AdminError('findings', 'the configuration has findings', problem.findings);
  }
  if (problem.current !== undefined) {
    const { revision, operator, note } = problem.current;
    const detail = `revision ${revision} by ${operator} came first (${note || 'no note'})`;
    throw new AdminError('conflict', detail);
  }
  if (problem.code === 'platform-unavailable') {
    throw new AdminError('unreachable', problem.detail ?? 'the platform does not answer');
  }
  throw new AdminError(reasonOf(problem.code), problem.detail ?? `status ${status}`);
}

function reasonOf(code: string | undefined): AdminError['reason'] {
  switch (code) {
    case 'write-outcome-unknown':
      return 'unknown';
    case 'not-active':
      return 'inactive';
    default:
      return 'refused';
  }
}
