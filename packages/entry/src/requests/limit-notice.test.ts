import { expect } from 'chai';

import { TEST_HEADERS } from '../testing/relay.js';
import type { LimitNotice } from './limit-notice.js';
import { readLimit } from './limit-notice.js';

type Given = {
  readonly statusCode?: number;
  readonly limits?: readonly string[];
  readonly headers?: Readonly<Record<string, string>>;
  readonly requestId?: string | undefined;
};

const OWN = { 'x-request-id': 'r' };

function limitOf(given: Given): LimitNotice {
  const { statusCode = 200, limits = [], headers = OWN } = given;
  const requestId = 'requestId' in given ? given.requestId : 'r';
  const headersDistinct = limits.length === 0 ? {} : { 'x-limit': [...limits] };
  return readLimit({ statusCode, headers, headersDistinct }, TEST_HEADERS, requestId);
}

describe("what an answer says of its host's limit", () => {
  it('is a number of requests a second, whatever the status and whatever was asked', () => {
    const cases: readonly (readonly [string, number])[] = [
      ['1.5', 1.5],
      [' 3 ', 3],
      ['0', 0],
      ['0.4', 0.4],
      ['1e9', 1e9],
    ];
    for (const [text, perSecond] of cases) {
      for (const given of [
        {},
        { statusCode: 500 },
        { statusCode: 503 },
        { requestId: undefined },
      ]) {
        const notice = limitOf({ ...given, limits: [text] });
        expect(notice).to.deep.equal({ kind: 'limited', perSecond });
      }
    }
  });

  it('is the least of several numbers', () => {
    expect(limitOf({ limits: ['2', '1.2'] })).to.deep.equal({ kind: 'limited', perSecond: 1.2 });
    expect(limitOf({ limits: ['2, 3'] })).to.deep.equal({ kind: 'limited', perSecond: 2 });
    expect(limitOf({ limits: ['soon', '3'] })).to.deep.equal({ kind: 'limited', perSecond: 3 });
  });

  it('is nothing, rather than no limit, where it can not be read', () => {
    for (const text of ['', '-1', 'soon', 'NaN', 'Infinity', '0x10', '3/s', '1e-2']) {
      expect(limitOf({ limits: [text] }), text).to.deep.equal({ kind: 'untold' });
    }
  });

  it('is none where the host has run the request and names none', () => {
    expect(limitOf({})).to.deep.equal({ kind: 'unlimited' });
    expect(limitOf({ statusCode: 500 })).to.deep.equal({ kind: 'unlimited' });
  });

  it('is nothing where the answer is about something else', () => {
    const rejected = { ...OWN, 'x-not-executed': '1' };
    expect(limitOf({ statusCode: 503, headers: rejected })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ headers: { 'x-request-id': 'older' } })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ requestId: undefined })).to.deep.equal({ kind: 'untold' });
    expect(limitOf({ statusCode: 421, limits: ['1'] })).to.deep.equal({ kind: 'untold' });
  });
});
