/**
 * The HTTP interface for callers; `docs/api.md` describes it for them.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import polka from 'polka';
import type {Polka} from 'polka';
import {z} from 'zod';
import {
  InvalidInputError,
  NotFoundError,
  UnavailableError,
  UnknownEffectError,
} from '../model/errors.js';
import {jobIdSchema, randomId, requestIdSchema} from '../model/ids.js';
import type {RequestId} from '../model/ids.js';
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
import {BodyReader} from './request_body.js';

/** A payload of 1,048,576 characters takes at most this in UTF-8 and JSON. */
const MAXIMUM_REQUEST_BODY_BYTES = 4_194_304;
const MAXIMUM_JOB_BODY_BYTES = 524_288;

/** A caller that needs longer for its body is disconnected. */
const BODY_TIMEOUT_MS = 30_000;

/** Longest wait for a change of a job. */
const MAXIMUM_WAIT_MS = 60_000;

/** Connections still open this long after the last answer are closed. */
const CLOSE_GRACE_MS = 1_000;

const REQUEST_ID_HEADER = 'X-Request-Id';

const requestPathSchema = z.object({id: requestIdSchema});
const jobPathSchema = z.object({id: jobIdSchema});
const jobQuerySchema = z.object({
  waitMs: z.coerce.number().int().min(0).max(MAXIMUM_WAIT_MS).default(0),
});

export interface CallerApiParts {
  readonly requests: Pick<RequestService, 'submit' | 'outcome'>;
  readonly jobs: JobService;
  /** Why the load balancer should send no traffic, or undefined. */
  readonly reasonNotReady: () => string | undefined;
}

/** One call of a caller. */
interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string | string[]>>;
  /** Aborted when the caller disconnects before the answer. */
  readonly signal: AbortSignal;
}

type Handler = (call: Call) => Promise<void>;

export class CallerApi {
  private readonly server: Server;
  private readonly bodies = new BodyReader();
  private readonly inProgress = new Set<Promise<void>>();
  /** Calls that were not answered yet, by connection. */
  private readonly unanswered = new WeakMap<Duplex, number>();
  /** Ends the waits of job reports when the interface closes. */
  private readonly waits = new AbortController();

  constructor(private readonly parts: CallerApiParts) {
    this.server = createServer({requestTimeout: BODY_TIMEOUT_MS});
    const router = polka({
      onNoMatch: (_request, response) => this.answerNotFound(response),
    });
    this.addRoutes(router);
    this.server.on('clientError', (_error, socket) =>
      this.refuseMalformed(socket),
    );
    this.server.on('request', (request: IncomingMessage, response) => {
      const {socket} = request;
      this.countUnanswered(socket, 1);
      response.once('close', () => this.countUnanswered(socket, -1));
      this.prepare(response);
      router.handler(request as Parameters<Polka['handler']>[0], response);
    });
  }

  /** Listens and returns the port; 0 lets the system choose one. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops accepting and finishes the calls in progress. */
  async close(): Promise<void> {
    this.waits.abort();
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    while (this.inProgress.size > 0) await Promise.all(this.inProgress);
    const timer = setTimeout(
      () => this.server.closeAllConnections(),
      CLOSE_GRACE_MS,
    );
    this.server.closeIdleConnections();
    await closed;
    clearTimeout(timer);
  }

  private get closing(): boolean {
    return this.waits.signal.aborted;
  }

  private addRoutes(router: Polka): void {
    const on = (
      method: 'GET' | 'POST' | 'DELETE',
      path: string,
      handler: Handler,
    ) => {
      router.add(method, path, (request, response) => {
        this.track(handler, {
          request,
          response,
          parameters: request.params as Call['parameters'],
          query: request.query as Call['query'],
          signal: disconnectSignal(response),
        });
      });
    };
    on('GET', '/ready', (call) => this.answerReady(call));
    on('POST', '/v1/requests', (call) => this.submitRequest(call));
    on('GET', '/v1/requests/:id', (call) => this.findRequest(call));
    on('POST', '/v1/jobs', (call) => this.submitJob(call));
    on('GET', '/v1/jobs/:id', (call) => this.findJob(call));
    on('DELETE', '/v1/jobs/:id', (call) => this.cancelJob(call));
  }

  private track(handler: Handler, call: Call): void {
    const handled = this.handle(handler, call).finally(() => {
      this.inProgress.delete(handled);
    });
    this.inProgress.add(handled);
  }

  private async handle(handler: Handler, call: Call): Promise<void> {
    try {
      await handler(call);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const effect = new UnknownEffectError(
        `fault in the daemon: ${detail}`,
        'tell the operator the request id',
      );
      sendError(call.response, effect, 500);
    }
    await finished(call.response);
  }

  private countUnanswered(socket: Duplex, change: 1 | -1): void {
    const count = this.unanswered.get(socket) ?? 0;
    this.unanswered.set(socket, count + change);
  }

  /**
   * Answers input that is not HTTP, unless an earlier call on the connection
   * waits for its answer: the caller would take this one for it.
   */
  private refuseMalformed(socket: Duplex): void {
    if (!socket.writable || this.unanswered.get(socket)) {
      socket.destroy();
      return;
    }
    const requestId = randomId<RequestId>('request');
    const error = new InvalidInputError('call', 'not HTTP/1.1', 'send HTTP');
    const body = JSON.stringify({error: error.report()});
    const head = [
      'HTTP/1.1 400 Bad Request',
      `${REQUEST_ID_HEADER}: ${requestId}`,
      'Content-Type: application/json; charset=utf-8',
      `Content-Length: ${Buffer.byteLength(body)}`,
      'Connection: close',
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  }

  private prepare(response: ServerResponse): void {
    const requestId = randomId<RequestId>('request');
    response.setHeader(REQUEST_ID_HEADER, requestId);
    // The caller's next connection goes to another entry VM.
    if (this.closing || this.parts.reasonNotReady() !== undefined) {
      response.setHeader('Connection', 'close');
    }
  }

  private async answerReady(call: Call): Promise<void> {
    const reason = this.closing
      ? 'the daemon is stopping'
      : this.parts.reasonNotReady();
    if (reason === undefined) sendJson(call.response, 200, {ready: true});
    else sendJson(call.response, 503, {ready: false, reason});
  }

  private async submitRequest(call: Call): Promise<void> {
    const body = await this.readBody(call, MAXIMUM_REQUEST_BODY_BYTES);
    if (body === undefined) return;
    const submission = validateJson(requestSubmissionSchema, body, 'request');
    if (submission.isErr) return sendError(call.response, submission.error);
    const {requests} = this.parts;
    const started = requests.submit(submission.value, call.signal);
    call.response.setHeader(REQUEST_ID_HEADER, started.requestId);
    const outcome = await started.outcome;
    sendOutcome(call.response, statusOfOutcome(outcome), outcome);
  }

  private async findRequest(call: Call): Promise<void> {
    const path = validate(requestPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const outcome = this.parts.requests.outcome(path.value.id);
    if (outcome) return sendOutcome(call.response, 200, outcome);
    const error = new NotFoundError(
      `this daemon holds no outcome of request ${path.value.id}`,
      'send the request again with its key to learn its outcome',
    );
    sendError(call.response, error);
  }

  private async submitJob(call: Call): Promise<void> {
    const body = await this.readBody(call, MAXIMUM_JOB_BODY_BYTES);
    if (body === undefined) return;
    const submission = validateJson(jobSubmissionSchema, body, 'job');
    if (submission.isErr) return sendError(call.response, submission.error);
    const accepted = await this.parts.jobs.submit(submission.value);
    if (accepted.isErr) return sendError(call.response, accepted.error);
    sendJson(call.response, 200, accepted.value);
  }

  private async findJob(call: Call): Promise<void> {
    const path = validate(jobPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const query = validate(jobQuerySchema, call.query, 'query');
    if (query.isErr) return sendError(call.response, query.error);
    const {jobs} = this.parts;
    const report = await jobs.report(
      path.value.id,
      query.value.waitMs,
      AbortSignal.any([call.signal, this.waits.signal]),
    );
    if (report.isErr) return sendError(call.response, report.error);
    sendJson(call.response, 200, report.value);
  }

  private async cancelJob(call: Call): Promise<void> {
    const path = validate(jobPathSchema, call.parameters, 'path');
    if (path.isErr) return sendError(call.response, path.error);
    const report = await this.parts.jobs.cancel(path.value.id);
    if (report.isErr) return sendError(call.response, report.error);
    sendJson(call.response, 200, report.value);
  }

  /** Answers and returns undefined if the body cannot be taken. */
  private async readBody(
    call: Call,
    maximumBytes: number,
  ): Promise<string | undefined> {
    if (this.closing) {
      const error = new UnavailableError(
        'the daemon is stopping',
        'send the request again; it was not run',
      );
      sendError(call.response, error);
      return undefined;
    }
    const body = await this.bodies.read(call.request, maximumBytes);
    if (body.isOk) return body.value;
    // The rest is read and dropped, for at most the body's time limit: closing
    // a connection with unread data can take the answer away from the caller.
    call.request.resume();
    const tooLarge = body.error.kind === 'refused';
    sendError(call.response, body.error, tooLarge ? 413 : undefined);
    return undefined;
  }

  private answerNotFound(response: ServerResponse): void {
    const error = new NotFoundError(
      'there is no such method and path',
      'see docs/api.md for the calls',
    );
    sendError(response, error);
  }
}

function disconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

/** Resolves when the answer was sent or the caller is gone. */
async function finished(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  await new Promise<void>((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
  });
}
