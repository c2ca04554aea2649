/** Parsing of messages of peers: valid ones, damaged ones, ones of other versions, and arbitrary values. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { LimitReport } from '../rate-limits/limit-report.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import {
  parseLeavingHosts,
  parseLimitReports,
  parseReadReply,
  parseReadRequest,
  parseReportsReply,
  parseRunReports,
  parseSuspicion,
  parseTallyReply,
  PeerMessageError,
} from './parse-messages.js';
import type { ReadReply, ReadRequest } from './peer-messages.js';

const LIMIT: LimitReport = {
  host: { id: 'h', startedAt: 1 },
  perSecond: 1.5,
  askedAgeMs: 30,
  heardAgeMs: 20,
  confirmedAgeMs: 20,
  turn: 0,
};
const REQUEST: ReadRequest = {
  kind: OBJECT_KINDS.hosts,
  revision: 5,
  waitMs: 100,
  view: 'full',
  tally: { loads: [['h1', 2]], work: [] },
  outliersHeard: 3,
};
const OUTLIER = {
  target: 'g1',
  targetHost: 'h1',
  targetDomain: 'a',
  isUnreachable: true,
  reporter: 'e1',
  reporterDomain: 'b',
  ageMs: 10,
};
const REPLY: ReadReply = {
  answer: {
    kind: 'changes',
    changes: [{ object: { name: 'h1', revision: 6, value: { any: 'thing' } }, deleted: false }],
    revision: 6,
  },
  inTouch: true,
  canSendOrders: true,
  confirmedAfterMs: -20,
  tally: { loads: [['h1', 2]], work: [['m', 3.5]] },
  outliers: [OUTLIER],
  outlierSequence: 4,
  lackingGroups: ['g2'],
};
const CRASH = {
  kind: 'crashed',
  fingerprint: 'f',
  host: { id: 'h1', startedAt: 4 },
  place: 'a-1',
  ranMs: 20,
  ageMs: 1,
  route: 'chat',
  workspace: undefined,
};

/** Generates arbitrary values, and copies of a message with one field, at any depth, replaced by any value. */
function damaged(message: object): fc.Arbitrary<unknown> {
  const paths = pathsOf(message);
  return fc.oneof(
    fc.anything(),
    fc.tuple(fc.constantFrom(...paths), fc.anything()).map(([path, value]) => {
      const copy = structuredClone(message) as Record<string, unknown>;
      const parent = path.slice(0, -1).reduce((at, key) => at[key] as never, copy);
      parent[path.at(-1) ?? ''] = value;
      return copy;
    }),
  );
}

function pathsOf(value: unknown): readonly string[][] {
  if (typeof value !== 'object' || value === null) {
    return [];
  }
  return Object.entries(value).flatMap(([key, inner]) => [
    [key],
    ...pathsOf(inner).map(path => [key, ...path]),
  ]);
}

function expectParsedOrRejected(read: (value: unknown) => unknown, message: object): void {
  fc.assert(
    fc.property(damaged(message), value => {
      try {
        read(value);
      } catch (error) {
        expect(error).to.be.instanceOf(PeerMessageError);
      }
    }),
    { seed: 39, numRuns: 2_000 },
  );
}

describe('messages of peers', () => {
  it('are parsed as they were sent', () => {
    expect(parseReadRequest(REQUEST)).to.deep.equal(REQUEST);
    expect(parseReadReply(REPLY)).to.deep.equal(REPLY);
    const suspicion = { service: 'lm', report: OUTLIER, hops: 2 };
    expect(parseSuspicion(suspicion)).to.deep.equal(suspicion);
    expect(parseRunReports({ reports: [CRASH] })).to.deep.equal([CRASH]);
    expect(parseLimitReports({ reports: [LIMIT] })).to.deep.equal([LIMIT]);
    expect(
      parseLimitReports({
        reports: [
          { ...LIMIT, perSecond: -1 },
          { ...LIMIT, turn: 0.5 },
        ],
      }),
    ).to.deep.equal([]);
    expect(parseLeavingHosts({ reports: [LIMIT.host, { id: 3 }] })).to.deep.equal([LIMIT.host]);
    expect(parseTallyReply({ tally: REPLY.tally })).to.deep.equal(REPLY.tally);
    expect(parseReportsReply({ instance: 'x' })).to.deep.equal({ instance: 'x' });
  });

  it('are parsed or rejected with PeerMessageError, whatever their content', () => {
    expectParsedOrRejected(parseReadRequest, REQUEST);
    expectParsedOrRejected(parseReadReply, REPLY);
    expectParsedOrRejected(parseSuspicion, { service: 'lm', report: OUTLIER, hops: 2 });
    expectParsedOrRejected(parseRunReports, { reports: [CRASH, CRASH] });
    expectParsedOrRejected(parseLimitReports, { reports: [LIMIT, LIMIT] });
    expectParsedOrRejected(parseLeavingHosts, { reports: [LIMIT.host] });
    expectParsedOrRejected(parseTallyReply, { tally: REPLY.tally });
    expectParsedOrRejected(parseReportsReply, { instance: 'x' });
  });

  it('lose only those entries of lists that are invalid', () => {
    const object = { name: 'h1', revision: 1, value: null };
    const objects = [null, 7, { name: 4 }, { name: 'x', revision: 'y' }, object];
    const answer = { kind: 'list', list: { objects, revision: 9 } };
    const reply = parseReadReply({ ...REPLY, answer });
    expect(reply.answer?.kind === 'list' && reply.answer.list.objects).to.deep.equal([object]);
    const loads = [['h1', 1], ['h2', 'many'], 7, ['h3']];
    expect(parseTallyReply({ tally: { loads, work: 3 } })).to.deep.equal({
      loads: [['h1', 1]],
      work: [],
    });
    const reports = [CRASH, { ...CRASH, ageMs: 'old' }, { ...CRASH, host: 'h1' }, null];
    expect(parseRunReports({ reports })).to.deep.equal([CRASH]);
  });
});
