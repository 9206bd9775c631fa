/**
 * JSON calls over HTTP, and the classification of failures by whether the call
 * may have had an effect. Nothing here retries.
 */

import {Result} from 'true-myth';
import type {z} from 'zod';
import type {CallError} from '../model/errors.js';
import {
  ProtocolError,
  RefusedError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
  errorFromReport,
  errorReportSchema,
} from '../model/errors.js';
import type {
  ExchangeFailure,
  HttpAnswer,
  HttpCall,
  HttpConnections,
} from './http_connections.js';

const SUCCESS_STATUS = 200;
const FIRST_ERROR_STATUS = 400;
const TOO_MANY_REQUESTS_STATUS = 429;

/**
 * Sends the call, validates the answer against `schema` and classifies
 * failures. `subject` names the remote side in error messages.
 */
export async function callJson<T>(
  connections: HttpConnections,
  call: HttpCall,
  schema: z.ZodType<T>,
  subject: string,
): Promise<Result<T, CallError>> {
  const headers = {'content-type': 'application/json', ...call.headers};
  let parsed: z.ZodSafeParseResult<T> | undefined;
  const check = ({status, body}: HttpAnswer) => {
    if (status >= FIRST_ERROR_STATUS) return undefined;
    parsed = schema.safeParse(parseJson(body));
    return status === SUCCESS_STATUS && parsed.success
      ? undefined
      : `an answer of status ${status} that does not match its schema`;
  };
  const exchanged = await connections.exchange({...call, headers, check});
  if (exchanged.isErr) {
    return Result.err(errorFromFailure(exchanged.error, subject));
  }
  return parsed?.success
    ? Result.ok(parsed.data)
    : Result.err(errorFromStatus(exchanged.value, subject));
}

/** Returns the parsed body, or undefined if it is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function errorFromFailure(
  failure: ExchangeFailure,
  subject: string,
): CallError {
  const problem = `${subject}: ${failure.message}`;
  switch (failure.kind) {
    case 'not-sent':
      return new UnavailableError(problem, 'try again later');
    case 'timed-out':
      return new TimeoutError(problem, 'read back whether it took effect');
    case 'malformed':
      return new ProtocolError(problem, 'compare the versions of both sides');
    default:
      return new UnknownEffectError(
        problem,
        'read back whether it took effect',
      );
  }
}

/**
 * Only a well-formed error report proves that a call had no effect. An error
 * status without one may come from an intermediary that forwarded the call. 429
 * is the exception, since by definition the call was not processed.
 */
function errorFromStatus(answer: HttpAnswer, subject: string): CallError {
  const report = errorReportSchema.safeParse(parseJson(answer.body));
  if (!report.success) {
    const problem = `${subject} answered with status ${answer.status}`;
    return answer.status === TOO_MANY_REQUESTS_STATUS
      ? new RefusedError(problem, 'send fewer calls')
      : new ProtocolError(problem, 'read back whether it took effect');
  }
  return errorFromReport(report.data);
}
