/** Orders to hosts, as the product needs them; the adapter of a platform implements them. */
import type { HostEntry, HostIncarnation } from '../hosts/host-entry.js';
import type { AnswerHead } from '../requests/host-notice.js';

/** An order to one host. */
export type HostOrder =
  /** Become a member; the first of `members` is the head. */
  | {
      readonly kind: 'join';
      readonly group: string;
      readonly epoch: number;
      readonly model: string;
      readonly members: readonly string[];
    }
  /** To a ready head: begin to serve. */
  | { readonly kind: 'open'; readonly group: string; readonly epoch: number }
  /** To an open head: finish what runs, then be ready. */
  | {
      readonly kind: 'close';
      readonly group: string;
      readonly epoch: number;
      readonly manner: 'pending' | 'preempt';
    }
  /** Give up membership at once. */
  | { readonly kind: 'leave'; readonly group: string; readonly epoch: number }
  /** Bring a model's weights onto the host. */
  | { readonly kind: 'stage'; readonly model: string };

/** How a host took an order. */
export type OrderOutcome =
  /** Under way; the host's order sequence has risen. */
  | 'begun'
  /** It held already, or is done. */
  | 'done'
  /** The host's state or order sequence is another than expected. */
  | 'conflict'
  /** The host has seen a higher epoch. */
  | 'superseded'
  /** Another host has the address. */
  | 'other-host'
  | 'rejected'
  /** Not sent: the host still carries out an order of an earlier order giver. */
  | 'occupied'
  /** Not sent: the lease has lapsed since it was planned. */
  | 'lease-lost'
  /** No answer: it may have been taken, or may be carried out later. */
  | 'unanswered';

/** What a host tells when asked. */
export type HostReport = {
  /** When the host's process started, as in its entry; undefined where it does not tell. */
  readonly startedAt: number | undefined;
  readonly orderSequence: number;
  /** Name of the group that the host is a member of. */
  readonly group: string | undefined;
  /** An order that was accepted earlier is still being carried out. */
  readonly hasOrderUnderWay: boolean;
  /** Factor on the host's speed; over 1 is slow. */
  readonly pace: number;
};

/** The head of an answer of a host, and what it answers. */
export type HostAnswer = {
  readonly head: AnswerHead;
  /** Id of the request; undefined for orders and questions for reports. */
  readonly requestId: string | undefined;
  /** When the host was asked, in monotonic milliseconds. */
  readonly askedAt: number;
};

/** Called as the head of an answer arrives. */
export type HostAnswerListener = (host: HostIncarnation, answer: HostAnswer) => void;

/** Calls to hosts. */
export type HostOrders = {
  /** Sends an order that the host takes only while its order sequence is the expected one. */
  readonly send: (
    host: HostEntry,
    order: HostOrder,
    expectedSequence: number,
  ) => Promise<OrderOutcome>;
  /** Asks a host; undefined when it does not answer in time. */
  readonly report: (host: HostEntry, timeoutMs: number) => Promise<HostReport | undefined>;
  /** Calls the listener with each answer, to orders and to questions, from now on. */
  readonly onAnswer: (listener: HostAnswerListener) => void;
  readonly close: () => void;
};
