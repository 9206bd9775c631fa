/**
 * HTTP client of minions. The payload and the answer are the bodies; headers in
 * both directions carry the request id and a digest (RFC 9530), which reveal an
 * answer that is truncated or belongs to another request.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {ServiceRequest} from '../model/requests.js';
import {MAXIMUM_PAYLOAD_CHARACTERS} from '../model/requests.js';
import type {MinionResult} from '../interfaces/minion_client.js';
import {MinionClient} from '../interfaces/minion_client.js';
import type {MinionVm} from '../interfaces/vm_list.js';
import {parseJson} from './http_call.js';
import type {ExchangeFailure, HttpAnswer} from './http_connections.js';
import {ConnectionsByAddress} from './http_connections.js';
import {
  CUSTOMER_HEADER,
  DIGEST_HEADER,
  LEAVING_HEADER,
  REPEATABLE_HEADER,
  REQUEST_ID_HEADER,
  TIME_LIMIT_HEADER,
  WORK_CLASS_HEADER,
  contentDigest,
  notRunAnswerSchema,
} from './http_protocol.js';

const ANSWERED_STATUS = 200;
const NOT_RUN_STATUS = 503;

/** A UTF-16 code unit takes at most 3 bytes in UTF-8. */
const MAXIMUM_ANSWER_BYTES = 3 * MAXIMUM_PAYLOAD_CHARACTERS;

export class HttpMinionClient extends MinionClient {
  private readonly connectionsByAddress: ConnectionsByAddress;

  constructor(scope: CleanupScope) {
    super();
    this.connectionsByAddress = new ConnectionsByAddress(scope);
  }

  override async run(
    minion: MinionVm,
    request: ServiceRequest,
    timeoutMs: number,
  ): Promise<MinionResult> {
    const connections = this.connectionsByAddress.get(
      minion.address,
      minion.connections,
    );
    const exchanged = await connections.exchange({
      method: 'POST',
      path: '/run',
      headers: requestHeaders(request, timeoutMs),
      body: request.payload,
      timeoutMs,
      maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
      check: (answer) => findProblem(answer, request.requestId),
    });
    return exchanged.match({
      Ok: (answer) => toMinionResult(answer),
      Err: (failure) => failureToMinionResult(failure, minion),
    });
  }
}

function requestHeaders(
  request: ServiceRequest,
  timeoutMs: number,
): Record<string, string> {
  return {
    'content-type': 'application/octet-stream',
    [REQUEST_ID_HEADER]: request.requestId,
    [CUSTOMER_HEADER]: request.customerId,
    [WORK_CLASS_HEADER]: request.workClassId,
    [REPEATABLE_HEADER]: String(request.repeatable),
    [TIME_LIMIT_HEADER]: String(Math.ceil(timeoutMs)),
    [DIGEST_HEADER]: contentDigest(request.payload),
  };
}

/** Returns the problem with a complete answer, or undefined if it is valid. */
function findProblem(
  answer: HttpAnswer,
  requestId: string,
): string | undefined {
  const {headers, body, status} = answer;
  if (headers['content-length'] !== String(body.length)) {
    return 'the answer does not state its length';
  }
  if (headers[REQUEST_ID_HEADER] !== requestId) {
    return `the answer carries request id ${String(headers[REQUEST_ID_HEADER])} instead of ${requestId}`;
  }
  if (headers[DIGEST_HEADER] !== contentDigest(body)) {
    return 'the answer does not match its digest';
  }
  if (status === ANSWERED_STATUS) {
    const text = decodeUtf8(body);
    if (text === undefined) return 'the answer is not UTF-8 text';
    if (text.length <= MAXIMUM_PAYLOAD_CHARACTERS) return undefined;
    return `the answer is longer than ${MAXIMUM_PAYLOAD_CHARACTERS} characters`;
  }
  if (status === NOT_RUN_STATUS && notRunMessage(body) !== undefined) {
    return undefined;
  }
  return `status ${status} says neither that the request ran nor that it did not`;
}

/** Converts an answer that passed `findProblem`. */
function toMinionResult(answer: HttpAnswer): MinionResult {
  const leaving = answer.headers[LEAVING_HEADER] === 'true';
  if (answer.status === ANSWERED_STATUS) {
    return {kind: 'answered', answer: answer.body.toString('utf8'), leaving};
  }
  const message = notRunMessage(answer.body) ?? '';
  return {kind: 'notRun', reason: 'refused', message, leaving};
}

function failureToMinionResult(
  failure: ExchangeFailure,
  minion: MinionVm,
): MinionResult {
  const message = `minion ${minion.vmId}: ${failure.message}`;
  switch (failure.kind) {
    case 'not-sent':
      return {kind: 'notRun', reason: 'unreachable', message, leaving: false};
    case 'timed-out':
    case 'cancelled':
      return {kind: 'unknown', reason: 'no-answer-in-time', message};
    case 'lost':
      return {kind: 'unknown', reason: 'connection-lost', message};
    case 'truncated':
    case 'malformed':
      return {kind: 'unknown', reason: 'malformed-answer', message};
  }
}

function notRunMessage(body: Buffer): string | undefined {
  const parsed = notRunAnswerSchema.safeParse(parseJson(body));
  return parsed.success ? parsed.data.message : undefined;
}

/** Returns undefined if the bytes are not valid UTF-8. */
function decodeUtf8(body: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(
      body,
    );
  } catch {
    return undefined;
  }
}
