/** Orders to hosts and the interface that sends them; the adapter of each platform implements it. */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';
import type { ProcessState } from '../hosts/process-checks.js';
import type { AnswerHead } from '../requests/host-notice.js';

/** An order to one host. */
export type HostOrder =
  /** Become a member of a group; `members` are host ids, the head first. */
  | {
      readonly kind: 'join';
      readonly group: string;
      readonly epoch: number;
      readonly model: string;
      readonly members: readonly string[];
    }
  /** For a ready head: begin to accept requests. */
  | { readonly kind: 'open'; readonly group: string; readonly epoch: number }
  /** For an open head: accept no more requests, finish those in progress, then become ready. */
  | {
      readonly kind: 'close';
      readonly group: string;
      readonly epoch: number;
      readonly manner: 'pending' | 'preempt';
    }
  /** Leave the group at once. */
  | { readonly kind: 'leave'; readonly group: string; readonly epoch: number }
  /** Put a model's weights on the host. */
  | { readonly kind: 'stage'; readonly model: string };

/** The outcome of an order. */
export type OrderOutcome =
  /** The host has accepted it and raised its order sequence; it is being carried out. */
  | 'begun'
  /** It has been carried out, or the host was already in the ordered state. */
  | 'done'
  /** The host's state or order sequence is not the expected one. */
  | 'conflict'
  /** The host has already accepted an order with a higher epoch. */
  | 'superseded'
  /** Another host answers at the address. */
  | 'other-host'
  /** The host has rejected the order for another reason. */
  | 'rejected'
  /** Not sent: the host is still carrying out an order of an earlier lease holder. */
  | 'occupied'
  /** Not sent: the lease has lapsed since the order was planned. */
  | 'lease-lost'
  /** No answer in time: the host may have accepted the order, or may still do so later. */
  | 'unanswered';

/** The state that a host reports when asked. */
export type HostReport = {
  /** Start time of the host's process, as in its entry; undefined where the host does not report it. */
  readonly startedAt: number | undefined;
  /** Counter that the host raises as it begins an order; it accepts an order only with the current value. */
  readonly orderSequence: number;
  /** Name of the group that the host is a member of; undefined where it is in none. */
  readonly group: string | undefined;
  /** True while an accepted order is still being carried out. */
  readonly hasOrderUnderWay: boolean;
  /** Factor on the host's times: 1 is the normal speed, a higher value is slower. */
  readonly pace: number;
};

/** The status and headers of a host's answer, with the request that it answers. */
export type HostAnswer = {
  readonly head: AnswerHead;
  /** Id of the request; undefined for orders and for requests for reports. */
  readonly requestId: string | undefined;
  /** When the request was sent to the host, in monotonic milliseconds. */
  readonly askedAt: number;
};

/** Called when the status and headers of an answer arrive. */
export type HostAnswerListener = (host: HostIncarnation, answer: HostAnswer) => void;

/** Sends orders to hosts and fetches their reports. */
export type HostOrders = {
  /** Sends an order, which the host accepts only if its order sequence is the expected one. */
  readonly send: (
    host: HostEntry,
    order: HostOrder,
    expectedSequence: number,
  ) => Promise<OrderOutcome>;
  /** Fetches the report of a host; undefined when the host does not answer in time. */
  readonly report: (host: HostEntry, timeoutMs: number) => Promise<HostReport | undefined>;
  /** Finds out by a call on a new connection whether the process that the entry describes runs. */
  readonly processState: (host: HostEntry, timeoutMs: number) => Promise<ProcessState>;
  /** Adds a listener for each later answer to an order or to a request for a report. */
  readonly onAnswer: (listener: HostAnswerListener) => void;
  /** Closes the connections to hosts. */
  readonly close: () => void;
};
