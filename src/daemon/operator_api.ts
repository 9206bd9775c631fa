/**
 * The HTTP interface for operators and for scraping metrics. It has no
 * authentication and must only be reachable from a private network.
 */

import type {Result} from 'true-myth';
import {z} from 'zod';
import type {Configuration} from '../model/configuration.js';
import type {SystemError} from '../model/errors.js';
import {jobIdSchema} from '../model/ids.js';
import type {JobId} from '../model/ids.js';
import {validate, validateJson} from '../model/validation.js';
import type {JobReport} from '../interfaces/peer_client.js';
import {
  REQUEST_EXPLANATION_PATH,
  requestQuerySchema,
} from '../requests/request_explanation.js';
import type {
  RequestExplanation,
  RequestQuery,
} from '../requests/request_explanation.js';
import {sendError, sendJson} from './caller_answers.js';
import {JsonServer} from './json_server.js';
import type {Call} from './json_server.js';
import type {DaemonMetrics} from './metrics.js';
import {
  powerSubmissionSchema,
  questionnaireSubmissionSchema,
} from './operator_messages.js';
import type {
  Audit,
  EditResult,
  History,
  JobList,
  PowerSubmission,
  QuestionnaireSubmission,
  Status,
} from './operator_messages.js';

/** A questionnaire is the largest body; it becomes one configuration change. */
const MAXIMUM_BODY_BYTES = 1_048_576;

const jobPathSchema = z.object({id: jobIdSchema});

type Answer<T> = Promise<Result<T, SystemError>>;

/** Operations of a daemon for operators. */
export abstract class OperatorService {
  abstract status(): Status;
  abstract configuration(): Configuration;
  abstract history(): Answer<History>;
  abstract submitQuestionnaire(
    submission: QuestionnaireSubmission,
  ): Answer<EditResult>;
  abstract setPower(submission: PowerSubmission): Answer<EditResult>;
  /** Where a service request would go now; nothing is sent or counted. */
  abstract explainRequest(
    query: RequestQuery,
  ): Result<RequestExplanation, SystemError>;
  abstract jobs(): Promise<JobList>;
  abstract job(jobId: JobId): Answer<JobReport>;
  abstract cancelJob(jobId: JobId): Answer<JobReport>;
  abstract audit(): Answer<Audit>;
  /** Starts a graceful stop and returns immediately. */
  abstract drain(): Status;
}

export class OperatorApi {
  private readonly server = new JsonServer({
    documentation: 'docs/OPERATIONS.md',
  });

  constructor(
    private readonly service: OperatorService,
    private readonly metrics: DaemonMetrics,
  ) {
    this.addConfigurationRoutes();
    this.addJobRoutes();
    this.addDaemonRoutes();
  }

  /** Listens and returns the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  private addConfigurationRoutes(): void {
    const {server, service} = this;
    server.on('GET', '/operator/configuration', async (call) => {
      sendJson(call.response, 200, service.configuration());
    });
    server.on('GET', '/operator/configuration/history', async (call) => {
      send(call, await service.history());
    });
    server.on('POST', '/operator/questionnaires', async (call) => {
      const submission = await this.read(call, questionnaireSubmissionSchema);
      if (submission) send(call, await service.submitQuestionnaire(submission));
    });
    server.on('POST', '/operator/power', async (call) => {
      const submission = await this.read(call, powerSubmissionSchema);
      if (submission) send(call, await service.setPower(submission));
    });
  }

  private addJobRoutes(): void {
    const {server, service} = this;
    server.on('GET', '/operator/jobs', async (call) => {
      sendJson(call.response, 200, await service.jobs());
    });
    server.on('GET', '/operator/jobs/:id', async (call) => {
      const path = validate(jobPathSchema, call.parameters, 'path');
      if (path.isErr) sendError(call.response, path.error);
      else send(call, await service.job(path.value.id));
    });
    server.on('DELETE', '/operator/jobs/:id', async (call) => {
      const path = validate(jobPathSchema, call.parameters, 'path');
      if (path.isErr) sendError(call.response, path.error);
      else send(call, await service.cancelJob(path.value.id));
    });
  }

  private addDaemonRoutes(): void {
    const {server, service} = this;
    server.on('GET', REQUEST_EXPLANATION_PATH, async (call) => {
      const query = validate(requestQuerySchema, call.query, 'query');
      if (query.isErr) sendError(call.response, query.error);
      else send(call, service.explainRequest(query.value));
    });
    server.on('GET', '/operator/status', async (call) => {
      sendJson(call.response, 200, service.status());
    });
    server.on('POST', '/operator/drain', async (call) => {
      sendJson(call.response, 200, service.drain());
    });
    server.on('GET', '/operator/audit', async (call) => {
      send(call, await service.audit());
    });
    server.on('GET', '/metrics', async ({response}) => {
      const {contentType, text} = await this.metrics.render();
      response.setHeader('Content-Type', contentType);
      response.end(text);
    });
  }

  /** If the body is invalid, sends the error and returns undefined. */
  private async read<T>(
    call: Call,
    schema: z.ZodType<T>,
  ): Promise<T | undefined> {
    const body = await this.server.readBody(call, MAXIMUM_BODY_BYTES);
    if (body === undefined) return undefined;
    const parsed = validateJson(schema, body, 'body');
    if (parsed.isOk) return parsed.value;
    sendError(call.response, parsed.error);
    return undefined;
  }
}

function send<T extends object>(
  call: Call,
  result: Result<T, SystemError>,
): void {
  result.match({
    Ok: (value) => sendJson(call.response, 200, value),
    Err: (error) => sendError(call.response, error),
  });
}
