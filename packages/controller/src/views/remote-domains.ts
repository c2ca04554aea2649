/** Last known state of the other failure domains, as their controllers answered it to polls. */
import type { Certificate, DomainView, FailureDomainId, RemoteGroup } from '@hingescale/core';
import type { KeyGrant, LoadReport, PollReply } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';

/** Last known state of one other failure domain. */
type RemoteDomain = {
  view: DomainView | undefined;
  certificates: readonly Certificate[];
  loads: readonly LoadReport[];
  grant: KeyGrant | undefined;
  /** When the poll was sent whose answer brought the key grant, certificates and loads, in monotonic milliseconds. */
  pollSentAt: number;
};

/**
 * Holds views, certificates, load reports and key grants of other failure domains. Remaining times and ages are counted
 * from the moment the poll was sent.
 */
export class RemoteDomains {
  readonly #remotes = new Map<FailureDomainId, RemoteDomain>();

  /** Stores what a reply says of other failure domains than `own`; its poll was sent at `sentAt` (monotonic ms). */
  applyReply(reply: PollReply, own: FailureDomainId, sentAt: number): void {
    for (const view of reply.views) {
      if (view.failureDomain !== own) {
        this.#getOrAdd(view.failureDomain).view = view;
      }
    }
    for (const grant of reply.keys) {
      const { failureDomain } = grant;
      if (failureDomain !== own) {
        const remote = this.#getOrAdd(failureDomain);
        remote.grant = grant;
        remote.pollSentAt = sentAt;
        const groups = new Set(remote.view?.groups.map(entry => entry.group.id));
        remote.certificates = reply.certificates.filter(entry => groups.has(entry.group));
        remote.loads = reply.loads.filter(entry => groups.has(entry.group));
      }
    }
  }

  /** Versions of the stored views, by failure domain; empty for a domain without a view. */
  versions(): Record<FailureDomainId, string> {
    const versions: Record<FailureDomainId, string> = {};
    for (const [failureDomain, remote] of this.#remotes) {
      versions[failureDomain] = remote.view?.version ?? '';
    }
    return versions;
  }

  /** The stored views. */
  views(): DomainView[] {
    return [...this.#remotes.values()].flatMap(remote => remote.view ?? []);
  }

  /** Content and state of the groups in the stored views. */
  groups(): RemoteGroup[] {
    return this.views().flatMap(view =>
      view.groups.map(({ failureDomain, group }) => ({
        failureDomain,
        content: group.content,
        state: group.state,
      })),
    );
  }

  /**
   * Failure domains among `all` whose controllers have answered before, but not within the last `silentMs`. A time in
   * which this process did not run does not count: it has run since `resumedAt`, in monotonic milliseconds.
   */
  absent(all: readonly FailureDomainId[], silentMs: number, resumedAt: number): FailureDomainId[] {
    const runningMs = monotonicMs() - resumedAt;
    return all.filter(domain => {
      const remote = this.#remotes.get(domain);
      return remote !== undefined && Math.min(ageOf(remote), runningMs) > silentMs;
    });
  }

  /** Certificates that are still valid, with their remaining times now. */
  certificates(): Certificate[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.certificates
        .map(entry => ({
          ...entry,
          remainingMs: entry.remainingMs - ageOf(remote),
        }))
        .filter(entry => entry.remainingMs > 0),
    );
  }

  /** Load reports with their current ages. */
  loads(): LoadReport[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.loads.map(entry => ({
        ...entry,
        ageMs: entry.ageMs + ageOf(remote),
      })),
    );
  }

  /** Key grants with their remaining times now. */
  grants(): KeyGrant[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.grant === undefined
        ? []
        : [
            {
              ...remote.grant,
              remainingMs: remote.grant.remainingMs - ageOf(remote),
            },
          ],
    );
  }

  #getOrAdd(failureDomain: FailureDomainId): RemoteDomain {
    let remote = this.#remotes.get(failureDomain);
    if (remote === undefined) {
      remote = {
        view: undefined,
        certificates: [],
        loads: [],
        grant: undefined,
        pollSentAt: 0,
      };
      this.#remotes.set(failureDomain, remote);
    }
    return remote;
  }
}

function ageOf(remote: RemoteDomain): number {
  return monotonicMs() - remote.pollSentAt;
}
