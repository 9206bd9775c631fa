/**
 * Client for calls to peers by `trpc`, over one persistent WebSocket per peer.
 */

import {TRPCClientError, createTRPCClient} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {Result} from 'true-myth';
import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RandomSource} from '../lifecycle/random.js';
import {
  ProtocolError,
  SystemError,
  UnknownEffectError,
} from '../model/errors.js';
import type {CallError} from '../model/errors.js';
import type {JobId, RequestId} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import {outcomeSchema} from '../model/requests.js';
import type {Outcome} from '../model/requests.js';
import {validate} from '../model/validation.js';
import {
  PeerClient,
  configurationUpdateSchema,
  jobReportSchema,
} from '../interfaces/peer_client.js';
import type {
  ConfigurationUpdate,
  Dispatch,
  Heartbeat,
  JobReport,
} from '../interfaces/peer_client.js';
import {
  decodeHeartbeat,
  encodeHeartbeat,
  heartbeatMessageSchema,
} from './heartbeat_delta.js';
import {PeerLink} from './peer_link.js';
import type {LinkCounters} from './peer_link.js';
import {jobReportsSchema} from './peer_protocol.js';
import type {PeerRouter} from './peer_protocol.js';

/** Below the server's idle timeout, so that the client closes first. */
const IDLE_TIMEOUT_MS = 45_000;
const IDLE_CHECK_MS = 10_000;

/** Timeouts of the calls that take no timeout argument. */
export interface PeerTimeLimits {
  /** Below the peer timeout, which leaves time to reconnect before it ends. */
  readonly heartbeatMs: number;
  readonly configurationSinceMs: number;
  readonly jobMs: number;
  readonly jobsMs: number;
  /** Long, since the peer may wait for a request that is in progress. */
  readonly claimOutcomeMs: number;
}

const DEFAULT_TIME_LIMITS: PeerTimeLimits = {
  heartbeatMs: 1_000,
  configurationSinceMs: 2_000,
  jobMs: 3_000,
  jobsMs: 5_000,
  claimOutcomeMs: 10_000,
};

export interface TrpcPeerClientOptions {
  readonly random: RandomSource;
  readonly scope: CleanupScope;
  readonly log: (sentence: string) => void;
  readonly timeLimits?: Partial<PeerTimeLimits>;
}

interface OpenLink {
  readonly link: PeerLink;
  readonly client: TRPCClient<PeerRouter>;
  /** The last heartbeat, if it was answered on an open connection. */
  lastAnswered: AnsweredHeartbeat | undefined;
  heartbeatCount: number;
}

interface AnsweredHeartbeat {
  readonly connection: number;
  readonly heartbeat: Heartbeat;
  readonly answer: Heartbeat;
}

type Remote = TRPCClient<PeerRouter>;
interface CallOptions {
  readonly context: {
    readonly timeoutMs: number;
    readonly connection: number | undefined;
  };
}

export class TrpcPeerClient extends PeerClient {
  private readonly links = new Map<string, OpenLink>();
  private readonly timeLimits: PeerTimeLimits;

  constructor(private readonly options: TrpcPeerClientOptions) {
    super();
    this.timeLimits = {...DEFAULT_TIME_LIMITS, ...options.timeLimits};
    options.scope.every(IDLE_CHECK_MS, () => this.closeIdle());
    options.scope.add(() => {
      for (const {link} of this.links.values()) link.close();
    });
  }

  /** Counters of the current links, for metrics. */
  linkCounters(): LinkCounters[] {
    return [...this.links.values()].map(({link}) => link.counters);
  }

  override async heartbeat(
    address: string,
    heartbeat: Heartbeat,
  ): Promise<Result<Heartbeat, CallError>> {
    const open = this.getOrCreateLink(address);
    const known = open.lastAnswered;
    // A delta is sent only on an open connection on which all heartbeats were
    // answered; otherwise the peer may lack the heartbeat that it refers to.
    open.lastAnswered = undefined;
    const count = (open.heartbeatCount += 1);
    const connection = open.link.openConnection;
    const current = known?.connection === connection ? known : undefined;
    const message = encodeHeartbeat(heartbeat, current?.heartbeat);
    const answer = await this.call(
      address,
      this.timeLimits.heartbeatMs,
      heartbeatMessageSchema,
      (remote, options) => remote.heartbeat.mutate(message, options),
      current?.connection,
    );
    return answer.andThen((value) => {
      const decoded = decodeHeartbeat(value, current?.answer);
      if (!decoded) return Result.err(malformedAnswer(address, 'heartbeat'));
      // If a later heartbeat was sent, the peer may have received that one.
      if (connection !== undefined && count === open.heartbeatCount) {
        open.lastAnswered = {connection, heartbeat, answer: decoded};
      }
      return Result.ok(decoded);
    });
  }

  override configurationSince(
    address: string,
    version: number,
  ): Promise<Result<ConfigurationUpdate, CallError>> {
    return this.call(
      address,
      this.timeLimits.configurationSinceMs,
      configurationUpdateSchema,
      (remote, options) => remote.configurationSince.query({version}, options),
    );
  }

  override dispatch(
    address: string,
    dispatch: Dispatch,
    timeoutMs: number,
  ): Promise<Result<Outcome, CallError>> {
    return this.call(address, timeoutMs, outcomeSchema, (remote, options) =>
      remote.dispatch.mutate(dispatch, options),
    );
  }

  override submitJob(
    address: string,
    record: JobRecord,
  ): Promise<Result<void, CallError>> {
    const limitMs = this.timeLimits.jobMs;
    return this.call(address, limitMs, z.void(), (remote, options) =>
      remote.submitJob.mutate(record, options),
    );
  }

  override cancelJob(
    address: string,
    jobId: JobId,
  ): Promise<Result<JobReport, CallError>> {
    const limitMs = this.timeLimits.jobMs;
    return this.call(address, limitMs, jobReportSchema, (remote, options) =>
      remote.cancelJob.mutate({jobId}, options),
    );
  }

  override job(
    address: string,
    jobId: JobId,
  ): Promise<Result<JobReport, CallError>> {
    const limitMs = this.timeLimits.jobMs;
    return this.call(address, limitMs, jobReportSchema, (remote, options) =>
      remote.job.query({jobId}, options),
    );
  }

  override jobs(
    address: string,
  ): Promise<Result<readonly JobReport[], CallError>> {
    const limitMs = this.timeLimits.jobsMs;
    return this.call(address, limitMs, jobReportsSchema, (remote, options) =>
      remote.jobs.query(undefined, options),
    );
  }

  override claimOutcome(
    address: string,
    requestId: RequestId,
  ): Promise<Result<Outcome, CallError>> {
    const limitMs = this.timeLimits.claimOutcomeMs;
    return this.call(address, limitMs, outcomeSchema, (remote, options) =>
      remote.claimOutcome.query({requestId}, options),
    );
  }

  private async call<T>(
    address: string,
    timeoutMs: number,
    schema: z.ZodType<T>,
    send: (remote: Remote, options: CallOptions) => Promise<unknown>,
    connection?: number,
  ): Promise<Result<T, CallError>> {
    try {
      const answer = await send(this.getOrCreateLink(address).client, {
        context: {timeoutMs, connection},
      });
      return validate(schema, answer, 'answer').mapErr((error) =>
        malformedAnswer(address, error.problem),
      );
    } catch (error) {
      return Result.err(toCallError(error));
    }
  }

  private getOrCreateLink(address: string): OpenLink {
    let open = this.links.get(address);
    if (!open) {
      const {random, log, scope} = this.options;
      const link = new PeerLink(address, random, log);
      if (scope.closed) link.close();
      const client = createTRPCClient<PeerRouter>({links: [link.asTrpcLink()]});
      open = {link, client, lastAnswered: undefined, heartbeatCount: 0};
      this.links.set(address, open);
    }
    return open;
  }

  private closeIdle(): void {
    for (const [address, {link}] of this.links) {
      if (link.idleMs() < IDLE_TIMEOUT_MS) continue;
      this.links.delete(address);
      link.close();
    }
  }
}

function malformedAnswer(address: string, problem: string): ProtocolError {
  return new ProtocolError(
    `${address} sent a malformed answer: ${problem}`,
    'run the same version on all daemons',
  );
}

/** `PeerLink` fails each call with a `CallError` as the cause. */
function toCallError(error: unknown): CallError {
  const cause = error instanceof TRPCClientError ? error.cause : error;
  if (cause instanceof SystemError) return cause as CallError;
  return new UnknownEffectError(
    `the call failed: ${cause instanceof Error ? cause.message : String(cause)}`,
    'read the state back',
  );
}
