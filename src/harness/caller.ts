/**
 * Client of one zone: sends requests and jobs to the zone's entry VMs and
 * records the outcomes that it received.
 */

import {createHash} from 'node:crypto';
import {Pool} from 'undici';
import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {jobIdSchema} from '../model/ids.js';
import type {JobId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {outcomeSchema} from '../model/requests.js';
import type {Outcome} from '../model/requests.js';
import {jobReportSchema} from '../interfaces/peer_client.js';

/** Longer than every deadline, so that the daemon answers first. */
const CALL_TIMEOUT_MS = 90_000;
const JOB_LONG_POLL_MS = 2_000;

/** Answer of a minion stand-in; `sha256` is the hex digest of the payload. */
const minionAnswerSchema = z.object({
  requestId: z.string(),
  sha256: z.string(),
});

const jobAcceptedSchema = z.object({
  jobId: jobIdSchema,
  durability: z.enum(['store', 'memory']),
});

export interface RequestSubmission {
  readonly customerId: string;
  readonly workClassId: string;
  readonly payload: string;
  readonly key?: string;
}

/** A sent request and the outcome that the caller received. */
export interface RequestRecord extends RequestSubmission {
  /** Undefined if the call failed before a valid answer arrived. */
  readonly outcome: Outcome | undefined;
}

export interface JobSubmission {
  readonly customerId: string;
  readonly workClassId: string;
  readonly payload: string;
  readonly key?: string;
  readonly availabilityZone?: string;
}

export interface AcceptedJob {
  readonly jobId: JobId;
  readonly durability: 'store' | 'memory';
}

export class Caller {
  readonly requests: RequestRecord[] = [];
  readonly jobs: AcceptedJob[] = [];
  private readonly pools = new Map<string, Pool>();
  private nextAddress = 0;

  /** `addresses` are the caller addresses of the entry VMs, as `host:port`. */
  constructor(
    private readonly scope: CleanupScope,
    private addresses: readonly string[],
  ) {}

  /** Replaces the entry VMs to use, as a load balancer does. */
  setAddresses(addresses: readonly string[]): void {
    this.addresses = addresses;
  }

  /**
   * Sends a request once, without a retry, and records the outcome. The next
   * entry VM receives it unless `address` is given.
   */
  async send(
    request: RequestSubmission,
    address?: string,
  ): Promise<RequestRecord> {
    const body = await this.post(address, '/v1/requests', request);
    const parsed = outcomeSchema.safeParse(body);
    const outcome = parsed.success ? parsed.data : undefined;
    const record = {...request, outcome};
    this.requests.push(record);
    return record;
  }

  /** Submits a job once, without a retry; undefined if it was not accepted. */
  async submitJob(
    job: JobSubmission,
    address?: string,
  ): Promise<AcceptedJob | undefined> {
    const body = await this.post(address, '/v1/jobs', job);
    const parsed = jobAcceptedSchema.safeParse(body);
    if (!parsed.success) return undefined;
    this.jobs.push(parsed.data);
    return parsed.data;
  }

  /** Reads a job's record; undefined if the entry VM does not return one. */
  async fetchJob(jobId: JobId, waitMs = 0): Promise<JobRecord | undefined> {
    const path = `/v1/jobs/${jobId}?waitMs=${waitMs}`;
    const body = await this.call(undefined, 'GET', path);
    const parsed = jobReportSchema.safeParse(body);
    return parsed.success ? parsed.data.record : undefined;
  }

  /** Polls a job until `done` returns true; throws after `timeoutMs`. */
  async waitForJob(
    jobId: JobId,
    done: (record: JobRecord) => boolean,
    timeoutMs: number,
  ): Promise<JobRecord> {
    const deadline = performance.now() + timeoutMs;
    for (;;) {
      const record = await this.fetchJob(jobId, JOB_LONG_POLL_MS);
      if (record && done(record)) return record;
      if (performance.now() > deadline) {
        const state = record ? `${record.state}: ${record.reason}` : 'unknown';
        throw new Error(`job ${jobId} is ${state} after ${timeoutMs} ms`);
      }
      await this.scope.sleep(100);
    }
  }

  private post(
    address: string | undefined,
    path: string,
    body: object,
  ): Promise<unknown> {
    return this.call(address, 'POST', path, JSON.stringify(body));
  }

  /** Returns the parsed JSON body, or undefined if the call failed. */
  private async call(
    address: string | undefined,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const pool = this.getPool(address ?? this.nextRoundRobinAddress());
    try {
      const response = await pool.request({
        method,
        path,
        ...(body === undefined ? {} : {body}),
      });
      return await response.body.json();
    } catch {
      return undefined;
    }
  }

  private nextRoundRobinAddress(): string {
    const address = this.addresses[this.nextAddress % this.addresses.length];
    this.nextAddress += 1;
    if (address === undefined) throw new Error('no entry VM address set');
    return address;
  }

  private getPool(address: string): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      const newPool = new Pool(`http://${address}`, {
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
      });
      this.scope.add(() => newPool.destroy());
      this.pools.set(address, newPool);
      pool = newPool;
    }
    return pool;
  }
}

/**
 * True if the answer is complete and belongs to this request. A duplicate of a
 * keyed request gets the stored answer of the first one: it has that request's
 * id, but the digest of the same payload.
 */
export function isCorrectAnswer(record: RequestRecord): boolean {
  const {outcome, payload, key} = record;
  if (outcome?.outcome !== 'answered') return false;
  const answer = minionAnswerSchema.safeParse(parseJson(outcome.answer));
  if (!answer.success) return false;
  const digest = createHash('sha256').update(payload).digest('hex');
  const hasOwnId = answer.data.requestId === outcome.requestId;
  return answer.data.sha256 === digest && (hasOwnId || key !== undefined);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
