/**
 * Typed errors. Each error has a kind that programs can switch on, and a
 * message that describes the problem and ends with the remedy. Expected
 * failures are returned in a `Result`; only programming errors are thrown.
 */

import {z} from 'zod';

export const errorKindSchema = z.enum([
  'invalid-input',
  'not-found',
  'conflict',
  'refused',
  'unavailable',
  'timeout',
  'unknown-effect',
  'protocol',
]);
export type ErrorKind = z.infer<typeof errorKindSchema>;

export const errorReportSchema = z.object({
  kind: errorKindSchema,
  message: z.string(),
  remedy: z.string(),
});
/** Serialized form of an error for callers, operators and peers. */
export type ErrorReport = Readonly<z.infer<typeof errorReportSchema>>;

/** Base class of all errors of the system. */
export abstract class SystemError extends Error {
  abstract readonly kind: ErrorKind;

  constructor(
    readonly problem: string,
    readonly remedy: string,
  ) {
    super(`${problem}; ${remedy}`);
    this.name = new.target.name;
  }

  /** Returns the form that is sent to other processes. */
  report(): ErrorReport {
    return {kind: this.kind, message: this.problem, remedy: this.remedy};
  }
}

/** Input from outside the process is invalid. */
export class InvalidInputError extends SystemError {
  override readonly kind = 'invalid-input';

  constructor(
    /** Path of the field, for example `customer.guarantees.0.cells`. */
    readonly field: string,
    problem: string,
    remedy: string,
  ) {
    super(`${field}: ${problem}`, remedy);
  }
}

/** The requested resource does not exist. */
export class NotFoundError extends SystemError {
  override readonly kind = 'not-found';
}

/** A concurrent writer changed the value first. */
export class ConflictError extends SystemError {
  override readonly kind = 'conflict';
}

/** The remote process received the call and did not execute it. */
export class RefusedError extends SystemError {
  override readonly kind = 'refused';
}

/** The remote process was unreachable; the call had no effect. */
export class UnavailableError extends SystemError {
  override readonly kind = 'unavailable';
}

/** No answer arrived in time; the call may still have had an effect. */
export class TimeoutError extends SystemError {
  override readonly kind = 'timeout';
}

/** The answer was lost after the call was sent; its effect is unknown. */
export class UnknownEffectError extends SystemError {
  override readonly kind = 'unknown-effect';
}

/** The remote process violated its protocol. */
export class ProtocolError extends SystemError {
  override readonly kind = 'protocol';
}

/** A failed call to another process. */
export type CallError =
  | InvalidInputError
  | NotFoundError
  | ConflictError
  | RefusedError
  | UnavailableError
  | TimeoutError
  | UnknownEffectError
  | ProtocolError;

/** Reconstructs the error that a remote process reported. */
export function errorFromReport(report: ErrorReport): CallError {
  const {kind, message, remedy} = report;
  switch (kind) {
    case 'invalid-input':
      return invalidInput(message, remedy);
    case 'not-found':
      return new NotFoundError(message, remedy);
    case 'conflict':
      return new ConflictError(message, remedy);
    case 'refused':
      return new RefusedError(message, remedy);
    case 'unavailable':
      return new UnavailableError(message, remedy);
    case 'timeout':
      return new TimeoutError(message, remedy);
    case 'unknown-effect':
      return new UnknownEffectError(message, remedy);
    case 'protocol':
      return new ProtocolError(message, remedy);
  }
}

/** The message of an `InvalidInputError` begins with its field. */
function invalidInput(message: string, remedy: string): InvalidInputError {
  const [field = 'message', ...rest] = message.split(': ');
  return new InvalidInputError(field, rest.join(': '), remedy);
}

/** True if the failed call is known to have had no effect. */
export function hadNoEffect(error: CallError): boolean {
  switch (error.kind) {
    case 'timeout':
    case 'unknown-effect':
    case 'protocol':
      return false;
    default:
      return true;
  }
}
