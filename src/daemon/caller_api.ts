/**
 * The HTTP interface for callers, documented in `docs/api.md`.
 */

import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {NotFoundError} from '../model/errors.js';
import {jobIdSchema, requestIdSchema} from '../model/ids.js';
import {jobSubmissionSchema} from '../model/jobs.js';
import {requestSubmissionSchema} from '../model/requests.js';
import {validate, validateJson} from '../model/validation.js';
import type {RequestService} from '../requests/request_service.js';
import {
  sendError,
  sendJson,
  sendOutcome,
  statusOfOutcome,
} from './caller_answers.js';
import type {JobService} from './job_service.js';
import {JsonServer, REQUEST_ID_HEADER} from './json_server.js';
import type {Call} from './json_server.js';

/** Largest JSON body, in UTF-8, with a payload of 1,048,576 characters. */
const MAXIMUM_REQUEST_BODY_BYTES = 4_194_304;
const MAXIMUM_JOB_BODY_BYTES = 524_288;

/** Upper bound of `waitMs` when a caller waits for a change of a job. */
const MAXIMUM_WAIT_MS = 60_000;

const requestPathSchema = z.object({id: requestIdSchema});
const jobPathSchema = z.object({id: jobIdSchema});
const jobQuerySchema = z.object({
  waitMs: z.coerce.number().int().min(0).max(MAXIMUM_WAIT_MS).default(0),
});

export interface CallerApiDependencies {
  readonly requests: Pick<RequestService, 'submit' | 'outcome'>;
  readonly jobs: JobService;
  /** Why the load balancer must send no traffic; undefined if ready. */
  readonly reasonNotReady: () => string | undefined;
}

export class CallerApi {
  private readonly server: JsonServer;

  constructor(private readonly dependencies: CallerApiDependencies) {
    this.server = new JsonServer({
      documentation: 'docs/api.md',
      prepare: (response) => this.prepare(response),
    });
    this.addRoutes();
  }

  /** Listens and returns the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  /** Stops accepting connections and finishes the calls in progress. */
  close(): Promise<void> {
    return this.server.close();
  }

  private addRoutes(): void {
    const {server} = this;
    server.on('GET', '/ready', (call) => this.answerReady(call));
    server.on('POST', '/v1/requests', (call) => this.submitRequest(call));
    server.on('GET', '/v1/requests/:id', (call) => this.findRequest(call));
    server.on('POST', '/v1/jobs', (call) => this.submitJob(call));
    server.on('GET', '/v1/jobs/:id', (call) => this.findJob(call));
    server.on('DELETE', '/v1/jobs/:id', (call) => this.cancelJob(call));
  }

  private prepare(response: ServerResponse): void {
    // The caller has to reconnect, so the load balancer picks another entry VM.
    if (this.dependencies.reasonNotReady() !== undefined) {
      response.setHeader('Connection', 'close');
    }
  }

  private async answerReady(call: Call): Promise<void> {
    const reason = this.server.closing
      ? 'the daemon is stopping'
      : this.dependencies.reasonNotReady();
    if (reason === undefined) sendJson(call.response, 200, {ready: true});
    else sendJson(call.response, 503, {ready: false, reason});
  }

  private async submitRequest(call: Call): Promise<void> {
    const body = await this.server.readBody(call, MAXIMUM_REQUEST_BODY_BYTES);
    if (body === undefined) return;
    const submission = validateJson(requestSubmissionSchema, body, 'request');
    if (submission.isErr) return sendError(call.response, submission.error);
    const {requests} = this.dependencies;
    const submitted = requests.submit(submission.value, call.signal);
    call.response.setHeader(REQUEST_ID_HEADER, submitted.requestId);
    const outcome = await submitted.outcome;
    sendOutcome(call.response, statusOfOutcome(outcome), outcome);
  }

  private async findRequest(call: Call): Promise<void> {
    const path = validate(requestPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const outcome = this.dependencies.requests.outcome(path.value.id);
    if (outcome) return sendOutcome(call.response, 200, outcome);
    const error = new NotFoundError(
      `this daemon holds no outcome of request ${path.value.id}`,
      'send the request again with its key to learn its outcome',
    );
    sendError(call.response, error);
  }

  private async submitJob(call: Call): Promise<void> {
    const body = await this.server.readBody(call, MAXIMUM_JOB_BODY_BYTES);
    if (body === undefined) return;
    const submission = validateJson(jobSubmissionSchema, body, 'job');
    if (submission.isErr) return sendError(call.response, submission.error);
    const accepted = await this.dependencies.jobs.submit(submission.value);
    if (accepted.isErr) return sendError(call.response, accepted.error);
    sendJson(call.response, 200, accepted.value);
  }

  private async findJob(call: Call): Promise<void> {
    const path = validate(jobPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const query = validate(jobQuerySchema, call.query, 'query');
    if (query.isErr) return sendError(call.response, query.error);
    const {jobs} = this.dependencies;
    const report = await jobs.report(
      path.value.id,
      query.value.waitMs,
      AbortSignal.any([call.signal, this.server.closeSignal]),
    );
    if (report.isErr) return sendError(call.response, report.error);
    sendJson(call.response, 200, report.value);
  }

  private async cancelJob(call: Call): Promise<void> {
    const path = validate(jobPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const report = await this.dependencies.jobs.cancel(path.value.id);
    if (report.isErr) return sendError(call.response, report.error);
    sendJson(call.response, 200, report.value);
  }
}
