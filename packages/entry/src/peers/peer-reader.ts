/** Reads the objects of a kind from a peer instead of the store. */
import type { LinkClient } from '@hingescale/link';

import { elapsedMs } from '../server/elapsed-time.js';
import type { KindReader } from '../store/kind-reader.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import { parseReadReply } from './parse-messages.js';
import type { ReadReply, ReadRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import type { SharedTally } from './shared-tally.js';

/** Time that a peer has to answer beyond the wait that the request allows, in milliseconds. */
const ANSWER_MARGIN_MS = 400;

/** Creates a reader over one link; replies that carry more than objects are also passed to `onReply`. */
export function peerReader(
  name: string,
  link: LinkClient,
  tally: SharedTally,
  onReply: (reply: ReadReply) => void,
): KindReader {
  let outliersHeard = 0;
  return {
    name,
    hasViews: true,
    read: async (kind, revision, waitMs, view) => {
      const ownTally = kind === OBJECT_KINDS.hosts ? tally.withFollowers() : undefined;
      const request: ReadRequest = { kind, revision, waitMs, view, tally: ownTally, outliersHeard };
      const sentAt = elapsedMs();
      const timeoutMs = waitMs + ANSWER_MARGIN_MS;
      const reply = parseReadReply(
        await link.request<unknown>(PEER_REQUESTS.read, request, timeoutMs),
      );
      if (reply.answer === undefined) {
        throw new Error(`peer ${name} has not read objects of kind ${kind} yet`);
      }
      if (reply.tally !== undefined) {
        tally.noteFollowed(reply.tally);
      }
      if (ownTally !== undefined) {
        outliersHeard = reply.outlierSequence;
        onReply(reply);
      }
      // The request arrived after it was sent, so the actual confirmation is at least as recent as this time. A peer whose
      // clock leaps while it holds the request reports a later one, which may not lie in the future.
      const confirmedAt = Math.min(sentAt + reply.confirmedAfterMs, elapsedMs());
      return { answer: reply.answer, confirmedAt, inTouch: reply.inTouch };
    },
  };
}
