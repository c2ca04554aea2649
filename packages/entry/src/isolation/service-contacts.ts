/**
 * Records this entry host's contact with all upstream hosts of a service taken together. The silence of one host may be
 * a fault of that host; the silence of all of them at once is more likely one of this entry host's own links.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { GaugeReading } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';

const MS_PER_S = 1_000;

/** Receives changes in the contact with the hosts of services. */
export type ContactObserver = {
  /** Called when a request is sent to a host of the service. */
  readonly onSent: (service: string) => void;
  /** Called when data arrives from a host. */
  readonly onData: (host: HostEntry) => void;
  /** Called when no connection to a host could be established. */
  readonly onUnreachable: (host: HostEntry) => void;
};

/** Silence of all hosts of a service that have requests in progress. */
export type Silence = {
  /** Number of these hosts. */
  readonly hosts: number;
  /** Milliseconds since any of them sent data, or since the first of the requests was sent. */
  readonly ms: number;
};

/** Contact with the hosts of one service; times in monotonic milliseconds. */
type Contact = {
  lastDataAt: number | undefined;
  /** Number of requests in progress, by host id. */
  readonly inFlight: Map<string, number>;
  /** Since when requests have been in progress without interruption. */
  busySince: number;
};

/** Contact with the hosts of each service. */
export class ServiceContacts {
  readonly #contacts = new Map<string, Contact>();
  #observer: ContactObserver | undefined;

  /** Sets the receiver of changes; there is one at most. */
  observe(observer: ContactObserver): void {
    this.#observer = observer;
  }

  /** Records that a request is sent to a host. */
  noteSent({ id, service }: HostEntry): void {
    const contact = this.#of(service);
    if (contact.inFlight.size === 0) {
      contact.busySince = monotonicMs();
    }
    contact.inFlight.set(id, (contact.inFlight.get(id) ?? 0) + 1);
    this.#observer?.onSent(service);
  }

  /** Records that a request at a host has ended. */
  noteEnded({ id, service }: HostEntry): void {
    const { inFlight } = this.#of(service);
    const left = (inFlight.get(id) ?? 0) - 1;
    if (left > 0) {
      inFlight.set(id, left);
    } else {
      inFlight.delete(id);
    }
  }

  /** Records that data arrived from a host. */
  noteData(host: HostEntry): void {
    this.#of(host.service).lastDataAt = monotonicMs();
    this.#observer?.onData(host);
  }

  /** Records that no connection to a host could be established. */
  noteUnreachable(host: HostEntry): void {
    this.#observer?.onUnreachable(host);
  }

  /** Milliseconds since the last data of the service; undefined if there was none; `now` in monotonic milliseconds. */
  silenceMs(service: string, now: number): number | undefined {
    const at = this.#contacts.get(service)?.lastDataAt;
    return at === undefined ? undefined : Math.max(0, now - at);
  }

  /** The hosts of a service that have requests in progress and send no data; `now` in monotonic milliseconds. */
  silenceOf(service: string, now: number): Silence {
    const contact = this.#of(service);
    const hosts = contact.inFlight.size;
    const since = Math.max(contact.busySince, contact.lastDataAt ?? -Infinity);
    return { hosts, ms: hosts === 0 ? 0 : now - since };
  }

  /** The silence of each service in seconds, as a gauge. */
  readings(): readonly GaugeReading[] {
    const now = monotonicMs();
    return [...this.#contacts.keys()].flatMap(service => {
      const silenceMs = this.silenceMs(service, now);
      return silenceMs === undefined ? [] : [{ labels: { service }, value: silenceMs / MS_PER_S }];
    });
  }

  #of(service: string): Contact {
    let contact = this.#contacts.get(service);
    if (contact === undefined) {
      contact = { lastDataAt: undefined, inFlight: new Map(), busySince: -Infinity };
      this.#contacts.set(service, contact);
    }
    return contact;
  }
}
