/**
 * HTTP API for operators of a hosted site, on the peer address: status, open
 * jobs, why a job waits, where a job would go, which work slows other work
 * down, and cancellation. A daemon that is not the leader forwards queries
 * about jobs to the leader.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'true-myth';
import {z} from 'zod';
import type {ComponentLog} from '../daemon/log.js';
import {BodyReader, parseBody} from '../daemon/request_body.js';
import {
  evacuationStatusSchema,
  jobReportSchema,
  jobSummarySchema,
  workerCountsSchema,
} from '../leader/jobs/reports.js';
import type {LeaderSession} from '../leader/session.js';
import {cancelledKey} from '../leader/jobs/records.js';
import type {SiteView} from '../leader/site_view.js';
import type {Clock} from '../lifecycle/clock.js';
import {steadyNow} from '../lifecycle/clock.js';
import type {ErrorKind, SystemError} from '../model/errors.js';
import type {JobId} from '../model/ids.js';
import type {CoordinationStore} from '../interfaces/coordination_store.js';
import {NO_REVISION} from '../interfaces/coordination_store.js';
import type {ConnectionsByAddress} from '../transport/http_connections.js';
import type {ConfigurationFeed} from './configuration_feed.js';
import {explainSubmission, submissionQuerySchema} from './explanations.js';
import type {JobDecoder} from './explanations.js';

export const SITE_PATH = '/operator/site';
const JOBS_PATH = `${SITE_PATH}/jobs`;
const INTERFERENCE_PATH = `${SITE_PATH}/interference`;
/** Under the path of a job, or of the site for a submission. */
const EXPLANATION = '/explanation';
export const SUBMISSION_PATH = `${SITE_PATH}${EXPLANATION}`;

export function explanationPath(jobId: string): string {
  return `${JOBS_PATH}/${encodeURIComponent(jobId)}${EXPLANATION}`;
}

/** Marks a query that another daemon forwarded. */
const FORWARDED_HEADER = 'bramleystep-passed';

const FORWARD_TIMEOUT_MS = 1_000;
const MAXIMUM_REPLY_BYTES = 4 * 1_048_576;
/** The peer address reads no larger bodies. */
const MAXIMUM_QUERY_BYTES = 1_048_576;
const CONNECTIONS_TO_LEADER = 2;

export const siteStatusSchema = z.object({
  vmId: z.string(),
  availabilityZone: z.string(),
  /** True if the platform may send callers here. */
  isReady: z.boolean(),
  configuration: z.object({version: z.number(), ageMs: z.number()}).optional(),
  leader: z
    .object({vmId: z.string(), term: z.number(), address: z.string()})
    .optional(),
  members: z.number(),
  /** Only on the leader. */
  leading: z
    .object({
      openJobs: z.number(),
      workers: workerCountsSchema,
      evacuation: evacuationStatusSchema,
    })
    .optional(),
});
export type SiteStatus = z.infer<typeof siteStatusSchema>;

export const siteJobsSchema = z.object({jobs: z.array(jobSummarySchema)});
export type SiteJobs = z.infer<typeof siteJobsSchema>;

export const siteJobSchema = jobReportSchema;
export type SiteJob = z.infer<typeof siteJobSchema>;

export const siteInterferenceSchema = z.object({
  pairs: z.array(
    z.object({
      /** The kind of work that runs longer. */
      slowed: z.string(),
      beside: z.string(),
      /** Factor of the run time. */
      slowdown: z.number(),
      observations: z.number(),
    }),
  ),
});
export type SiteInterference = z.infer<typeof siteInterferenceSchema>;

/** Error response in the format that the operators' tool expects. */
interface Problem {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly remedy: string;
}

export interface SiteOperatorApiDependencies {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly ownAddress: string;
  readonly feed: ConfigurationFeed;
  readonly site: SiteView;
  readonly store: CoordinationStore;
  readonly connections: ConnectionsByAddress;
  readonly clock: Clock;
  readonly log: ComponentLog;
  readonly decodeJob: JobDecoder;
  isReady(): boolean;
  session(): LeaderSession | undefined;
}

export class SiteOperatorApi {
  private readonly bodies = new BodyReader();

  constructor(private readonly dependencies: SiteOperatorApiDependencies) {}

  /** Handles a request under `SITE_PATH`. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const [path = ''] = (request.url ?? '').split('?');
    if (path === SUBMISSION_PATH && request.method === 'POST') {
      await this.explainSubmission(request, response);
      return;
    }
    request.resume();
    if (path === `${SITE_PATH}/status` && request.method === 'GET') {
      send(response, 200, this.status());
      return;
    }
    const jobId = path.startsWith(`${JOBS_PATH}/`)
      ? (path.slice(JOBS_PATH.length + 1) as JobId)
      : undefined;
    if (jobId !== undefined && request.method === 'DELETE') {
      await this.cancel(jobId, response);
      return;
    }
    const isQuery =
      path === JOBS_PATH || path === INTERFERENCE_PATH || jobId !== undefined;
    if (!isQuery || request.method !== 'GET') {
      sendProblem(response, NO_SUCH_PATH);
      return;
    }
    const session = this.dependencies.session();
    if (session === undefined) await this.forward(request, path, response);
    else if (jobId?.endsWith(EXPLANATION) === true) {
      const explained = jobId.slice(0, -EXPLANATION.length) as JobId;
      sendResult(response, session.explainer.explainJob(explained));
    } else if (path === INTERFERENCE_PATH) {
      send(response, 200, {
        pairs: session.statistics.interference.believedPairs(),
      });
    } else this.answer(session, jobId, response);
  }

  private status(): SiteStatus {
    const {dependencies} = this;
    const {feed, site} = dependencies;
    const steady = steadyNow();
    const session = dependencies.session();
    const {configuration} = feed;
    const leader = site.leader;
    return {
      vmId: dependencies.vmId,
      availabilityZone: dependencies.availabilityZone,
      isReady: dependencies.isReady(),
      ...(configuration === undefined
        ? {}
        : {
            configuration: {
              version: configuration.version,
              ageMs: Math.round(feed.ageMs(steady)),
            },
          }),
      ...(leader === undefined
        ? {}
        : {
            leader: {
              vmId: leader.vmId,
              term: leader.term,
              address: leader.address,
            },
          }),
      members: site.memberAddresses('').length,
      ...(session === undefined
        ? {}
        : {
            leading: {
              openJobs: session.openJobCount,
              workers: session.workerCounts(steady),
              evacuation: session.evacuationStatus,
            },
          }),
    };
  }

  private answer(
    session: LeaderSession,
    jobId: JobId | undefined,
    response: ServerResponse,
  ): void {
    if (jobId === undefined) {
      send(response, 200, {jobs: session.reportOpenJobs()});
      return;
    }
    const report = session.reportJob(jobId);
    if (report === undefined) sendProblem(response, NO_SUCH_JOB);
    else send(response, 200, report);
  }

  private async explainSubmission(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await this.bodies.read(request, MAXIMUM_QUERY_BYTES);
    // An unread rest would keep the connection from further requests.
    request.resume();
    if (body.isErr) {
      sendError(response, body.error);
      return;
    }
    const {feed, clock, decodeJob} = this.dependencies;
    const session = this.dependencies.session();
    if (session === undefined) {
      await this.forward(request, SUBMISSION_PATH, response, body.value);
      return;
    }
    const query = submissionQuerySchema.safeParse(parseBody(body.value));
    if (!query.success) {
      sendProblem(response, INVALID_QUERY);
      return;
    }
    sendResult(
      response,
      explainSubmission(
        query.data,
        session.explainer,
        feed.configuration,
        decodeJob,
        clock.now(),
      ),
    );
  }

  private async forward(
    request: IncomingMessage,
    path: string,
    response: ServerResponse,
    body?: string,
  ): Promise<void> {
    const {site, ownAddress, connections} = this.dependencies;
    const address = site.leader?.address;
    const wasForwarded = request.headers[FORWARDED_HEADER] !== undefined;
    if (address === undefined || address === ownAddress || wasForwarded) {
      sendProblem(response, NO_LEADER);
      return;
    }
    const answer = await connections
      .get(address, CONNECTIONS_TO_LEADER)
      .exchange({
        method: body === undefined ? 'GET' : 'POST',
        path,
        headers: {[FORWARDED_HEADER]: '1'},
        ...(body === undefined ? {} : {body}),
        timeoutMs: FORWARD_TIMEOUT_MS,
        maximumAnswerBytes: MAXIMUM_REPLY_BYTES,
      });
    if (answer.isErr) {
      const message = `the leader at ${address}: ${answer.error.message}`;
      sendProblem(response, {...NO_LEADER, message});
      return;
    }
    response.writeHead(answer.value.status, JSON_HEADERS);
    response.end(answer.value.body);
  }

  /** Stores the record of a caller's cancellation; the leader acts on it. */
  private async cancel(jobId: JobId, response: ServerResponse): Promise<void> {
    const {store, clock, log} = this.dependencies;
    const key = cancelledKey(jobId);
    const outcome = await store.transact({
      conditions: [{key, revision: NO_REVISION}],
      puts: [
        {
          key,
          value: JSON.stringify({cancelledAt: clock.now(), by: 'operator'}),
        },
      ],
      removals: [],
    });
    if (outcome.isErr) {
      const {message} = outcome.error;
      sendProblem(response, {...STORE_UNAVAILABLE, message});
      return;
    }
    log.info('cancelled by an operator', {jobId});
    send(response, 200, {jobId});
  }
}

const NO_SUCH_PATH: Problem = {
  status: 404,
  kind: 'not-found',
  message: 'there is no such call',
  remedy: 'see docs/OPERATIONS.md',
};

const INVALID_QUERY: Problem = {
  status: 400,
  kind: 'invalid-input',
  message: 'the query has an unknown format',
  remedy: 'use the tool of the same release as the daemon',
};

const NO_SUCH_JOB: Problem = {
  status: 404,
  kind: 'not-found',
  message: 'the leader knows no such job',
  remedy: 'check the id; ended jobs are forgotten after some minutes',
};

const NO_LEADER: Problem = {
  status: 503,
  kind: 'unavailable',
  message: 'no daemon leads at present',
  remedy: 'try again in a few seconds, or ask another daemon',
};

const STORE_UNAVAILABLE: Problem = {
  status: 503,
  kind: 'unavailable',
  message: 'the store does not answer',
  remedy: 'repeat the cancellation; doing it twice changes nothing',
};

const JSON_HEADERS = {'content-type': 'application/json'} as const;

function send(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, JSON_HEADERS);
  response.end(JSON.stringify(body));
}

const ERROR_STATUS: Readonly<Partial<Record<ErrorKind, number>>> = {
  'invalid-input': 400,
  'not-found': 404,
  conflict: 409,
  refused: 413,
};

const STATUS_UNAVAILABLE = 503;

function sendResult(
  response: ServerResponse,
  result: Result<object, SystemError>,
): void {
  if (result.isOk) send(response, 200, result.value);
  else sendError(response, result.error);
}

function sendError(
  response: ServerResponse,
  {kind, problem: message, remedy}: SystemError,
): void {
  const status = ERROR_STATUS[kind] ?? STATUS_UNAVAILABLE;
  sendProblem(response, {status, kind, message, remedy});
}

function sendProblem(
  response: ServerResponse,
  {status, kind, message, remedy}: Problem,
): void {
  send(response, status, {error: {kind, message, remedy}});
}
