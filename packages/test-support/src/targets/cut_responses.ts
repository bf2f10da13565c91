/** Responses that end too early, at any byte, for property tests. */

import fc from 'fast-check';
import type {RawResponse} from './raw_target.js';

/** A response that ends before it is complete. */
export interface CutResponse extends RawResponse {
  readonly method: 'GET' | 'HEAD';
}

interface ResponseForm {
  readonly head: string;
  readonly body: string;
  /** Whether the response states where its body ends. */
  readonly isFramed: boolean;
}

const TEXT = 'all of it';
const CHUNKS = `4;a=b\r\nall \r\n5\r\nof it\r\n0\r\nX-Sum: 9\r\n\r\n`;

function newForm(
  statusLine: string,
  fields: readonly string[],
  body: string,
): ResponseForm {
  const head = [statusLine, ...fields, '', ''].join('\r\n');
  return {head, body, isFramed: /^(Content-Len|Transfer-Enc)/m.test(head)};
}

function newForms(fields: readonly string[]): readonly ResponseForm[] {
  const length = `Content-Length: ${TEXT.length}`;
  const ok = 'HTTP/1.1 200 OK';
  return [
    newForm(ok, [...fields, length], TEXT),
    newForm(ok, [length, ...fields, 'Connection: close'], TEXT),
    newForm(ok, [...fields, 'Content-Length: 0'], ''),
    newForm(ok, ['Connection: close', ...fields, 'Content-Length: 0'], ''),
    newForm(ok, [...fields, 'Transfer-Encoding: chunked'], CHUNKS),
    newForm(
      ok,
      ['Transfer-Encoding: chunked', 'Connection: close', ...fields],
      CHUNKS,
    ),
    newForm('HTTP/1.0 200 OK', [...fields, length], TEXT),
    newForm(ok, fields, TEXT),
    newForm(ok, [...fields, 'Connection: close'], TEXT),
    newForm('HTTP/1.0 200 OK', fields, TEXT),
  ];
}

const INTERIM_RESPONSES = [
  '',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 102 Processing\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n',
];

/** Generates responses with the given fields that end at any byte. */
export function cutResponses(
  fields: readonly string[],
): fc.Arbitrary<CutResponse> {
  return fc
    .record({
      form: fc.constantFrom(...newForms(fields)),
      interim: fc.constantFrom(...INTERIM_RESPONSES),
      method: fc.constantFrom('GET' as const, 'HEAD' as const),
      end: fc.constantFrom('fin' as const, 'reset' as const),
    })
    .chain(({form, interim, method, end}) => {
      const text = method === 'HEAD' ? form.head : form.head + form.body;
      const size = interim.length + getMaxCutSize(form, method, end);
      return fc.nat(size).map(position => {
        return {bytes: (interim + text).slice(0, position), end, method};
      });
    });
}

// A response without a length is complete when its connection ends cleanly.
function getMaxCutSize(
  {head, body, isFramed}: ResponseForm,
  method: CutResponse['method'],
  end: CutResponse['end'],
): number {
  if (method === 'HEAD') return head.length - 1;
  if (isFramed) return head.length + body.length - 1;
  return end === 'fin' ? head.length - 1 : head.length + body.length;
}
