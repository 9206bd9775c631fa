/**
 * HTTP client of the platform's VM list, read by long polling.
 */

import type {Result} from 'true-myth';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {
  ProtocolError,
  RefusedError,
  UnavailableError,
} from '../model/errors.js';
import type {VmListBatch} from '../interfaces/vm_list.js';
import {VmList} from '../interfaces/vm_list.js';
import {callJson} from './http_call.js';
import type {HttpConnections} from './http_connections.js';
import {openConnections} from './http_connections.js';
import {toReadError} from './http_key_value_store.js';
import {vmListAnswerSchema} from './http_protocol.js';
import type {TrafficCounter} from './traffic_counter.js';

/** About 400 bytes for each of 20,000 VMs. */
const MAXIMUM_ANSWER_BYTES = 8 * 1_048_576;

const DEFAULT_CALL_TIMEOUT_MS = 2_000;

/** One watch is active; the rest allow for watches that timed out. */
const MAXIMUM_CONNECTIONS = 4;

export interface HttpVmListOptions {
  /** Host and port of the service. */
  readonly address: string;
  /** Timeout of a call; the wait of the watch is added to it. */
  readonly callTimeoutMs?: number;
  readonly traffic?: TrafficCounter;
}

export class HttpVmList extends VmList {
  private readonly connections: HttpConnections;
  private readonly callTimeoutMs: number;

  constructor(scope: CleanupScope, options: HttpVmListOptions) {
    super();
    this.connections = openConnections(
      scope,
      options.address,
      MAXIMUM_CONNECTIONS,
      options.traffic,
    );
    this.callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  }

  override async watch(
    afterVersion: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<
    Result<VmListBatch, UnavailableError | RefusedError | ProtocolError>
  > {
    const answer = await callJson(
      this.connections,
      {
        method: 'GET',
        path: `/vms/watch?afterVersion=${afterVersion}&waitMs=${waitMs}`,
        timeoutMs: this.callTimeoutMs + waitMs,
        maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
        signal,
      },
      vmListAnswerSchema,
      'VM list',
    );
    return answer.mapErr(toReadError);
  }
}
