/** Heads of answers, byte by byte. */
import { expect } from 'chai';

import { AnswerHeadCheck } from './answer-head-check.js';

const BYTES = 256;
const TAB = 0x09;
const FIRST_PRINTABLE = 0x20;
const DELETE = 0x7f;
const TOKEN = /[!#$%&'*+\-.^_`|~0-9A-Za-z]/;
const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';

function accepts(head: string, piece = head.length): boolean {
  const check = new AnswerHeadCheck();
  const bytes = Buffer.from(head, 'latin1');
  for (let at = 0; at < bytes.length; at += piece) {
    if (!check.accept(bytes.subarray(at, at + piece))) {
      return false;
    }
  }
  return check.isComplete;
}

describe('the check of the head of an answer', () => {
  for (const [place, lineWith] of [
    ['at the start', (character: string) => `${character}Name: 1`],
    ['inside', (character: string) => `Na${character}me: 1`],
    ['at the end', (character: string) => `Name${character}: 1`],
  ] as const) {
    it(`lets only characters of tokens stand ${place} of a name`, () => {
      for (let byte = 0; byte < BYTES; byte++) {
        const character = String.fromCharCode(byte);
        // The first colon ends a name; an empty one is none.
        const isAllowed = TOKEN.test(character) || (character === ':' && place !== 'at the start');
        const head = `${STATUS_LINE}A: 1\r\n${lineWith(character)}\r\n\r\n`;
        expect(accepts(head), `byte ${byte}`).to.equal(isAllowed);
      }
    });
  }

  it('lets no control bytes but tabs stand in a value', () => {
    for (let byte = 0; byte < BYTES; byte++) {
      const isAllowed = (byte >= FIRST_PRINTABLE || byte === TAB) && byte !== DELETE;
      for (const value of [`${String.fromCharCode(byte)}ab`, `a${String.fromCharCode(byte)}b`]) {
        const head = `${STATUS_LINE}Name: ${value}\r\n\r\n`;
        expect(accepts(head), `byte ${byte}`).to.equal(isAllowed);
      }
    }
  });

  for (const head of [
    `${STATUS_LINE} Name: 1\r\n\r\n`,
    `${STATUS_LINE}Name: 1\r\n folded\r\n\r\n`,
    `${STATUS_LINE}Name: 1\r\n\tfolded\r\n\r\n`,
    `${STATUS_LINE}Name\r\n\r\n`,
    `${STATUS_LINE}: 1\r\n\r\n`,
    `${STATUS_LINE}Name: 1\n\r\n`,
    `${STATUS_LINE}Name: 1\r\n\n`,
    'HTTP/1.1 200 OK\nName: 1\r\n\r\n',
    `HTTP/1.1 103 Early Hints\r\nName : 1\r\n\r\n${STATUS_LINE}\r\n`,
    `HTTP/1.1 103 Early Hints\r\n\r\n${STATUS_LINE}Name : 1\r\n\r\n`,
  ]) {
    it(`refuses ${JSON.stringify(head)} in pieces of any length`, () => {
      for (let piece = 1; piece <= head.length; piece++) {
        expect(accepts(head, piece), `pieces of ${piece}`).to.equal(false);
      }
    });
  }

  for (const head of [
    `${STATUS_LINE}\r\n`,
    'HTTP/1.0 404\r\nName:\r\n\r\n',
    `\r\n\n${STATUS_LINE}Name: 1\r\n\r\n`,
    `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${STATUS_LINE}\r\n`,
  ]) {
    it(`accepts ${JSON.stringify(head)} in pieces of any length`, () => {
      for (let piece = 1; piece <= head.length; piece++) {
        expect(accepts(head, piece), `pieces of ${piece}`).to.equal(true);
      }
    });
  }

  it('ends with the head', () => {
    expect(accepts(`${STATUS_LINE}Length: 7\r\n\r\nno field\r\n\u0000\n`)).to.equal(true);
    expect(accepts('HTTP/1.1 100 Continue\r\n\r\n')).to.equal(false);
  });
});
