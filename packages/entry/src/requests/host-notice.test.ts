import { expect } from 'chai';

import { TEST_HEADERS } from '../testing/relay.js';
import type { HostNotice } from './host-notice.js';
import { readHostNotice } from './host-notice.js';

function noticeOf(
  statusCode: number,
  retryAfter: readonly string[],
  headers: Readonly<Record<string, string>> = {},
): HostNotice {
  const headersDistinct = retryAfter.length === 0 ? {} : { 'retry-after': [...retryAfter] };
  return readHostNotice({ statusCode, headers, headersDistinct }, TEST_HEADERS);
}

describe('host notice of an answer', () => {
  it('contains the backoff that the host asks for', () => {
    expect(noticeOf(503, ['3']).backoffMs).to.equal(3_000);
    expect(noticeOf(503, [' 0.25 ']).backoffMs).to.equal(250);
    expect(noticeOf(429, ['2']).backoffMs).to.equal(2_000);
    expect(noticeOf(503, []).backoffMs).to.equal(0);
  });

  it('contains a backoff only for statuses that report overload', () => {
    expect(noticeOf(200, ['3']).backoffMs).to.equal(0);
    expect(noticeOf(500, ['3']).backoffMs).to.equal(0);
  });

  it('contains the longest of several backoffs', () => {
    expect(noticeOf(503, ['1', '4', '2']).backoffMs).to.equal(4_000);
  });

  it('counts a date from the date of the answer', () => {
    const date = 'Mon, 01 Jun 2026 01:00:00 GMT';
    const later = 'Mon, 01 Jun 2026 01:00:05 GMT';
    expect(noticeOf(503, [later], { date }).backoffMs).to.equal(5_000);
    expect(noticeOf(503, [date], { date: later }).backoffMs).to.equal(0);
    expect(noticeOf(503, [later]).backoffMs).to.equal(0);
  });

  it('contains no backoff if the value can not be parsed', () => {
    for (const value of ['', '-3', 'soon', 'NaN', 'Infinity', '0', '1e9', '0x10', '3 s']) {
      expect(noticeOf(503, [value], { date: 'Mon, 01 Jun 2026 01:00:00 GMT' }).backoffMs).to.equal(
        0,
      );
    }
  });

  it('reports whether the host is shutting down, whatever the status', () => {
    for (const status of [200, 404, 500, 503]) {
      expect(noticeOf(status, [], { 'x-leaving': '1' }).isLeaving).to.equal(true);
      expect(noticeOf(status, [], { 'x-leaving': '0' }).isLeaving).to.equal(false);
      expect(noticeOf(status, []).isLeaving).to.equal(false);
    }
  });

  it('is empty if another host at the address answered', () => {
    expect(noticeOf(421, ['3'], { 'x-leaving': '1' })).to.deep.equal({
      backoffMs: 0,
      isLeaving: false,
    });
  });
});
