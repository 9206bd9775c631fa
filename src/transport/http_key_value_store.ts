/**
 * HTTP client of the key-value service: JSON answers, long polls for watches,
 * and keys, prefixes and revisions as query parameters.
 */

import {Result} from 'true-myth';
import type {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {CallError} from '../model/errors.js';
import {
  ProtocolError,
  RefusedError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import type {
  StoreEntry,
  StoreReadError,
  StoreWatchBatch,
  StoreWriteError,
} from '../interfaces/key_value_store.js';
import {
  KeyValueStore,
  MAXIMUM_VALUE_BYTES,
} from '../interfaces/key_value_store.js';
import type {HttpCall} from './http_connections.js';
import {callJson} from './http_call.js';
import type {HttpConnections} from './http_connections.js';
import {openConnections} from './http_connections.js';
import {
  entryAnswerSchema,
  listAnswerSchema,
  watchAnswerSchema,
  writeAnswerSchema,
} from './http_protocol.js';
import type {TrafficCounter} from './traffic_counter.js';

/** One value with every character escaped in JSON, and the other fields. */
const MAXIMUM_ENTRY_BYTES = 6 * MAXIMUM_VALUE_BYTES + 4_096;

/** Bounds the memory that one list or watch may take. */
const MAXIMUM_LIST_BYTES = 32 * MAXIMUM_VALUE_BYTES;

const MAXIMUM_WRITE_ANSWER_BYTES = 4_096;
const DEFAULT_CALL_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECTIONS = 64;
const SUBJECT = 'key-value service';

export interface HttpKeyValueStoreOptions {
  /** Host and port of the service. */
  readonly address: string;
  /** Timeout of a call; the wait of a watch is added to it. */
  readonly callTimeoutMs?: number;
  readonly connections?: number;
  readonly traffic?: TrafficCounter;
}

export class HttpKeyValueStore extends KeyValueStore {
  private readonly connections: HttpConnections;
  private readonly callTimeoutMs: number;

  constructor(scope: CleanupScope, options: HttpKeyValueStoreOptions) {
    super();
    const limit = options.connections ?? DEFAULT_CONNECTIONS;
    const {address, traffic} = options;
    this.connections = openConnections(scope, address, limit, traffic);
    this.callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  }

  override async get(
    key: string,
  ): Promise<Result<StoreEntry | undefined, StoreReadError>> {
    const path = `/store/entry?${queryString({key})}`;
    const read = await this.read(path, entryAnswerSchema, MAXIMUM_ENTRY_BYTES);
    if (read.isErr) return Result.err(read.error);
    const entry = read.value.entry;
    if (entry !== undefined && entry.key !== key) {
      return Result.err(unexpectedKeyError(key, entry.key));
    }
    return Result.ok(entry);
  }

  override async list(prefix: string): Promise<
    Result<
      {
        readonly revision: number;
        readonly entries: readonly StoreEntry[];
      },
      StoreReadError
    >
  > {
    const path = `/store/entries?${queryString({prefix})}`;
    const read = await this.read(path, listAnswerSchema, MAXIMUM_LIST_BYTES);
    if (read.isErr) return read;
    const keys = read.value.entries.map((entry) => entry.key);
    const foreign = keys.find((key) => !key.startsWith(prefix));
    if (foreign === undefined) return read;
    return Result.err(unexpectedKeyError(prefix, foreign));
  }

  override async put(
    key: string,
    value: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreWriteError>> {
    if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
      return Result.err(
        new RefusedError(
          `the value of ${key} is larger than ${MAXIMUM_VALUE_BYTES} bytes`,
          'write a smaller value',
        ),
      );
    }
    const path = `/store/entry?${queryString({key, expectedRevision})}`;
    const written = await this.write({method: 'PUT', path, body: value});
    return written.map((answer) => answer.revision);
  }

  override async delete(
    key: string,
    expectedRevision: number,
  ): Promise<Result<void, StoreWriteError>> {
    const path = `/store/entry?${queryString({key, expectedRevision})}`;
    const written = await this.write({method: 'DELETE', path});
    return written.map(() => undefined);
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchBatch, StoreReadError>> {
    const path = `/store/watch?${queryString({prefix, afterRevision, waitMs})}`;
    const read = await this.read(path, watchAnswerSchema, MAXIMUM_LIST_BYTES, {
      waitMs,
      signal,
    });
    if (read.isErr) return read;
    const {changed, deletedKeys} = read.value;
    const keys = [...changed.map((entry) => entry.key), ...deletedKeys];
    const foreign = keys.find((key) => !key.startsWith(prefix));
    if (foreign === undefined) return read;
    return Result.err(unexpectedKeyError(prefix, foreign));
  }

  private async read<T>(
    path: string,
    schema: z.ZodType<T>,
    maximumAnswerBytes: number,
    wait?: {readonly waitMs: number; readonly signal: AbortSignal},
  ): Promise<Result<T, StoreReadError>> {
    const call: HttpCall = {
      method: 'GET',
      path,
      timeoutMs: this.callTimeoutMs + (wait?.waitMs ?? 0),
      maximumAnswerBytes,
      ...(wait === undefined ? {} : {signal: wait.signal}),
    };
    const answer = await callJson(this.connections, call, schema, SUBJECT);
    return answer.mapErr(toReadError);
  }

  private async write(call: {
    readonly method: 'PUT' | 'DELETE';
    readonly path: string;
    readonly body?: string;
  }): Promise<Result<z.infer<typeof writeAnswerSchema>, StoreWriteError>> {
    const answer = await callJson(
      this.connections,
      {
        ...call,
        timeoutMs: this.callTimeoutMs,
        maximumAnswerBytes: MAXIMUM_WRITE_ANSWER_BYTES,
      },
      writeAnswerSchema,
      SUBJECT,
    );
    return answer.mapErr(toWriteError);
  }
}

function queryString(
  values: Readonly<Record<string, string | number>>,
): string {
  const parameters = new URLSearchParams();
  for (const [name, value] of Object.entries(values)) {
    parameters.set(name, String(value));
  }
  return parameters.toString();
}

function unexpectedKeyError(
  requested: string,
  received: string,
): ProtocolError {
  return new ProtocolError(
    `${SUBJECT} answered with key ${received} when asked for ${requested}`,
    'compare the versions of both sides',
  );
}

/** A read has no effect, so a call without an answer counts as unavailable. */
export function toReadError(
  error: CallError,
): UnavailableError | RefusedError | ProtocolError {
  switch (error.kind) {
    case 'unavailable':
    case 'refused':
    case 'protocol':
      return error;
    case 'timeout':
    case 'unknown-effect':
      return new UnavailableError(error.problem, 'read again later');
    default:
      return new RefusedError(error.problem, error.remedy);
  }
}

/** A write without a valid answer may have taken effect. */
function toWriteError(error: CallError): StoreWriteError {
  switch (error.kind) {
    case 'conflict':
    case 'unavailable':
    case 'refused':
    case 'unknown-effect':
      return error;
    case 'timeout':
    case 'protocol':
      return new UnknownEffectError(error.problem, 'read the key back');
    default:
      return new RefusedError(error.problem, error.remedy);
  }
}
