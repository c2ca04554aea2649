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

/** Contact with the hosts of one service; times in monotonic milliseconds. */
type Contact = {
  lastDataAt: number | undefined;
  inFlight: number;
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
  noteSent({ service }: HostEntry): void {
    const contact = this.#of(service);
    if (contact.inFlight === 0) {
      contact.busySince = monotonicMs();
    }
    contact.inFlight += 1;
    this.#observer?.onSent(service);
  }

  /** Records that a request at a host has ended. */
  noteEnded({ service }: HostEntry): void {
    const contact = this.#of(service);
    contact.inFlight = Math.max(0, contact.inFlight - 1);
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

  /**
   * Milliseconds for which requests have been in progress while no host of the service sent any data; undefined if none
   * is in progress; `now` in monotonic milliseconds.
   */
  waitedMs(service: string, now: number): number | undefined {
    const contact = this.#contacts.get(service);
    if (contact === undefined || contact.inFlight === 0) {
      return undefined;
    }
    return now - Math.max(contact.busySince, contact.lastDataAt ?? -Infinity);
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
      contact = { lastDataAt: undefined, inFlight: 0, busySince: -Infinity };
      this.#contacts.set(service, contact);
    }
    return contact;
  }
}
