import { expect } from 'chai';

import { TEST_HEADERS } from '../testing/relay.js';
import type { LimitNotice } from './limit-notice.js';
import { readLimitNotice } from './limit-notice.js';

/** The parts of an answer, and the id of the request that was sent; undefined for orders and requests for reports. */
type AnswerParts = {
  readonly statusCode?: number;
  readonly limits?: readonly string[];
  readonly headers?: Readonly<Record<string, string>>;
  readonly requestId?: string | undefined;
};

const OWN = { 'x-request-id': 'r' };

function limitOf(parts: AnswerParts): LimitNotice {
  const { statusCode = 200, limits = [], headers = OWN } = parts;
  const requestId = 'requestId' in parts ? parts.requestId : 'r';
  const headersDistinct = limits.length === 0 ? {} : { 'x-limit': [...limits] };
  return readLimitNotice({ statusCode, headers, headersDistinct }, TEST_HEADERS, requestId);
}

describe('rate limit that an answer names', () => {
  it('is read whatever the status, and from answers to orders too', () => {
    const cases: readonly (readonly [string, number])[] = [
      ['1.5', 1.5],
      [' 3 ', 3],
      ['0', 0],
      ['0.4', 0.4],
      ['1e9', 1e9],
    ];
    for (const [text, perSecond] of cases) {
      for (const parts of [
        {},
        { statusCode: 500 },
        { statusCode: 503 },
        { requestId: undefined },
      ]) {
        const notice = limitOf({ ...parts, limits: [text] });
        expect(notice).to.deep.equal({ kind: 'limited', perSecond });
      }
    }
  });

  it('is the lowest of several numbers', () => {
    expect(limitOf({ limits: ['2', '1.2'] })).to.deep.equal({ kind: 'limited', perSecond: 1.2 });
    expect(limitOf({ limits: ['2, 3'] })).to.deep.equal({ kind: 'limited', perSecond: 2 });
    expect(limitOf({ limits: ['soon', '3'] })).to.deep.equal({ kind: 'limited', perSecond: 3 });
  });

  it('is unknown, not absent, if it can not be parsed', () => {
    for (const text of ['', '-1', 'soon', 'NaN', 'Infinity', '0x10', '3/s', '1e-2']) {
      expect(limitOf({ limits: [text] }), text).to.deep.equal({ kind: 'untold' });
    }
  });

  it('is absent if the host has run the request and names none', () => {
    expect(limitOf({})).to.deep.equal({ kind: 'unlimited' });
    expect(limitOf({ statusCode: 500 })).to.deep.equal({ kind: 'unlimited' });
  });

  it('is unknown if the answer is not that of a run of the request', () => {
    const rejected = { ...OWN, 'x-not-executed': '1' };
    expect(limitOf({ statusCode: 503, headers: rejected })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ headers: { 'x-request-id': 'older' } })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ requestId: undefined })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ statusCode: 421, limits: ['1'] })).to.deep.equal({ kind: 'untold' });
  });
});
