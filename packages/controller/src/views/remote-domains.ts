/** What this controller knows of other failure domains, and which peers have which revision. */
import type { Certificate, DomainView, FailureDomainId, RemoteGroup } from '@hingescale/core';
import type { KeyGrant, LoadReport, PollReply } from '@hingescale/link';
import { monotonicMs } from '@hingescale/runtime';

type Remote = {
  view: DomainView | undefined;
  certificates: readonly Certificate[];
  loads: readonly LoadReport[];
  grant: KeyGrant | undefined;
  /** When the poll that brought this was sent. */
  sentAt: number;
};

/** Views, certificates and key tables of other failure domains, aged since they were asked for. */
export class RemoteDomains {
  readonly #remotes = new Map<FailureDomainId, Remote>();

  /** Takes the answer to a poll that was sent at `sentAt`, for other domains than `own`. */
  take(reply: PollReply, own: FailureDomainId, sentAt: number): void {
    for (const view of reply.views) {
      if (view.failureDomain !== own) {
        this.#remote(view.failureDomain).view = view;
      }
    }
    for (const grant of reply.keys) {
      const { failureDomain } = grant;
      if (failureDomain !== own) {
        const remote = this.#remote(failureDomain);
        remote.grant = grant;
        remote.sentAt = sentAt;
        const groups = new Set(remote.view?.groups.map(entry => entry.group.id));
        remote.certificates = reply.certificates.filter(entry => groups.has(entry.group));
        remote.loads = reply.loads.filter(entry => groups.has(entry.group));
      }
    }
  }

  /** Versions of the views held, by failure domain. */
  versions(): Record<FailureDomainId, string> {
    const versions: Record<FailureDomainId, string> = {};
    for (const [failureDomain, remote] of this.#remotes) {
      versions[failureDomain] = remote.view?.version ?? '';
    }
    return versions;
  }

  /** The views held. */
  views(): DomainView[] {
    return [...this.#remotes.values()].flatMap(remote => remote.view ?? []);
  }

  /** Groups of the other failure domains. */
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
   * Failure domains among `all` that were heard once and then fell silent for long, while this process listened:
   * since `resumedAt`, in monotonic milliseconds.
   */
  absent(all: readonly FailureDomainId[], silentMs: number, resumedAt: number): FailureDomainId[] {
    const listenedMs = monotonicMs() - resumedAt;
    return all.filter(domain => {
      const remote = this.#remotes.get(domain);
      return remote !== undefined && Math.min(age(remote), listenedMs) > silentMs;
    });
  }

  /** Certificates with what is left of them now. */
  certificates(): Certificate[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.certificates
        .map(entry => ({
          ...entry,
          remainingMs: entry.remainingMs - age(remote),
        }))
        .filter(entry => entry.remainingMs > 0),
    );
  }

  /** Load reports with their present age. */
  loads(): LoadReport[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.loads.map(entry => ({
        ...entry,
        ageMs: entry.ageMs + age(remote),
      })),
    );
  }

  /** Key tables with what is left of them now. */
  grants(): KeyGrant[] {
    return [...this.#remotes.values()].flatMap(remote =>
      remote.grant === undefined
        ? []
        : [
            {
              ...remote.grant,
              remainingMs: remote.grant.remainingMs - age(remote),
            },
          ],
    );
  }

  #remote(failureDomain: FailureDomainId): Remote {
    let remote = this.#remotes.get(failureDomain);
    if (remote === undefined) {
      remote = {
        view: undefined,
        certificates: [],
        loads: [],
        grant: undefined,
        sentAt: 0,
      };
      this.#remotes.set(failureDomain, remote);
    }
    return remote;
  }
}

function age(remote: Remote): number {
  return monotonicMs() - remote.sentAt;
}
