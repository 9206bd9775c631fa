/**
 * Validates values from outside the process against a zod schema and converts
 * the first issue to an error that names the field and the remedy.
 */

import {Result} from 'true-myth';
import type {z} from 'zod';
import {InvalidInputError} from './errors.js';

/**
 * Validates `value`. `subject` is the name of the document, for example
 * `settings`; errors prefix it to the path of the invalid field.
 */
export function validate<T>(
  schema: z.ZodType<T>,
  value: unknown,
  subject: string,
): Result<T, InvalidInputError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const issue = parsed.error.issues[0];
  const path = [subject, ...(issue?.path ?? [])].join('.');
  const problem = issue?.message ?? 'does not match the schema';
  return Result.err(
    new InvalidInputError(path, problem, `correct ${path} and send it again`),
  );
}

/** Parses JSON text and validates the result with `validate`. */
export function validateJson<T>(
  schema: z.ZodType<T>,
  text: string,
  subject: string,
): Result<T, InvalidInputError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Result.err(
      new InvalidInputError(subject, detail, 'send well-formed JSON'),
    );
  }
  return validate(schema, value, subject);
}
