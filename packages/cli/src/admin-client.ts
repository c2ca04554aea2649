/** Client of the administration API; finds the active controller by itself. */
import type { BurnReport, ControllerStatus, ExplainedOrder } from '@hingescale/controller';
import type {
  ConfigurationFile,
  ConfigurationHead,
  ConfigurationRevision,
  Evacuation,
  Finding,
} from '@hingescale/core';
import { monotonicMs, sleep, timeoutSignal } from '@hingescale/runtime';
import { request } from 'undici';

/** Why a call failed, as the command line tells it. */
export class AdminError extends Error {
  /** `inactive`: no controller holds the lease at this moment, and one will. */
  readonly reason: 'unreachable' | 'conflict' | 'findings' | 'refused' | 'unknown' | 'inactive';
  readonly findings: readonly Finding[];

  constructor(reason: AdminError['reason'], detail: string, findings: readonly Finding[] = []) {
    super(detail);
    this.name = 'AdminError';
    this.reason = reason;
    this.findings = findings;
  }
}

/** Where the administration API is and who asks. */
export type AdminOptions = { readonly urls: readonly string[]; readonly key: string };

const TIMEOUT_MS = 5_000;
/** Time for which a drain waits for an active controller, in milliseconds; the lease may just change hands. */
const ACTIVE_WITHIN_MS = 10_000;
const ASK_AGAIN_MS = 250;

/** Reasons that pass by themselves. */
const PASSING: readonly AdminError['reason'][] = ['inactive', 'unknown', 'unreachable'];

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE';

type Answer = { readonly status: number; readonly body: unknown };

/** Calls controllers; reads go to any that answers, changes of hosts to the active one. */
export class AdminClient {
  readonly #options: AdminOptions;

  constructor(options: AdminOptions) {
    this.#options = options;
  }

  /** Status of every controller that answers. */
  async statuses(): Promise<ControllerStatus[]> {
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', '/v1/status')),
    );
    const statuses = answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => checked(answer.value) as ControllerStatus);
    if (statuses.length === 0) {
      throw new AdminError(
        'unreachable',
        `no controller answers at ${this.#options.urls.join(', ')}`,
      );
    }
    return statuses;
  }

  /** The accepted configuration. */
  async configuration(): Promise<ConfigurationRevision> {
    return (await this.#any('GET', '/v1/configuration')) as ConfigurationRevision;
  }

  /** Proposes the next revision. */
  async apply(
    files: readonly ConfigurationFile[],
    base: number,
    note: string,
  ): Promise<ConfigurationHead> {
    return (await this.#any('POST', '/v1/configuration', {
      base,
      note,
      files,
    })) as ConfigurationHead;
  }

  /** The last orders about a group or a host, from every controller that knows it. */
  async explain(name: string): Promise<ExplainedOrder[]> {
    const path = `/v1/explain/${encodeURIComponent(name)}`;
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', path)),
    );
    const known = answers
      .filter(answer => answer.status === 'fulfilled')
      .filter(answer => answer.value.status === 200)
      .flatMap(answer => (answer.value.body as { orders: ExplainedOrder[] }).orders);
    if (!answers.some(answer => answer.status === 'fulfilled' && answer.value.status === 200)) {
      throw new AdminError('refused', `no group or host ${name} is known`);
    }
    return known;
  }

  /** Burn reports of all failure domains, each from the controller that hears the gateways. */
  async burn(): Promise<BurnReport[]> {
    const answers = await Promise.allSettled(
      this.#options.urls.map(url => this.#send(url, 'GET', '/v1/report/burn')),
    );
    const reports = answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => checked(answer.value) as BurnReport);
    if (reports.length === 0) {
      throw new AdminError(
        'unreachable',
        `no controller answers at ${this.#options.urls.join(', ')}`,
      );
    }
    return reports.filter(report => report.gateways.length + report.silent.length > 0);
  }

  /**
   * Drains a host, or takes that back, at the controller that is active for it; waits for one while the lease changes
   * hands. Asked twice, a drain is the same.
   */
  async drain(host: string, draining: boolean): Promise<void> {
    const until = monotonicMs() + ACTIVE_WITHIN_MS;
    for (;;) {
      try {
        await this.#drainOnce(host, draining);
        return;
      } catch (error) {
        const isPassing = error instanceof AdminError && PASSING.includes(error.reason);
        if (!isPassing || monotonicMs() > until) {
          throw error;
        }
        await sleep(ASK_AGAIN_MS);
      }
    }
  }

  async #drainOnce(host: string, draining: boolean): Promise<void> {
    const method = draining ? 'PUT' : 'DELETE';
    const path = `/v1/hosts/${encodeURIComponent(host)}/drain`;
    const statuses = await this.statuses();
    const knowing = statuses.filter(status => status.hosts.some(entry => entry.host === host));
    const owner = knowing.find(status => status.active);
    if (owner === undefined) {
      const reason = knowing.length === 0 ? 'refused' : 'inactive';
      throw new AdminError(reason, `no active controller knows host ${host}`);
    }
    checked(await this.#send(owner.lease?.adminAddress ?? '', method, path));
  }

  /** Evacuates a failure domain, or ends its evacuation; returns the order in force. */
  async evacuate(failureDomain: string, evacuated: boolean): Promise<Evacuation> {
    const path = `/v1/evacuations/${encodeURIComponent(failureDomain)}`;
    return (await this.#any(evacuated ? 'PUT' : 'DELETE', path)) as Evacuation;
  }

  /** Failure domains that are evacuated now. */
  async evacuations(): Promise<readonly Evacuation[]> {
    const { evacuations } = (await this.#any('GET', '/v1/evacuations')) as {
      evacuations: readonly Evacuation[];
    };
    return evacuations;
  }

  async #any(method: Method, path: string, body?: object): Promise<unknown> {
    for (const url of this.#options.urls) {
      try {
        return checked(await this.#send(url, method, path, body));
      } catch (error) {
        // A change may have been accepted before the connection broke; only reads go on.
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
        headers: {
          authorization: `Bearer ${this.#options.key}`,
          'content-type': 'application/json',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: timeoutSignal(TIMEOUT_MS),
      });
      return { status: response.statusCode, body: JSON.parse(await response.body.text()) };
    } catch (error) {
      const refused = (error as { code?: string }).code === 'ECONNREFUSED';
      const reason = refused || method === 'GET' ? 'unreachable' : 'unknown';
      throw new AdminError(reason, `${url}: ${(error as Error).message}`);
    }
  }
}

function checked(answer: Answer): unknown {
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
