/**
 * HTTP client of the command-line tool for one daemon's operator interface.
 */

import {Result} from 'true-myth';
import {request} from 'undici';
import {z} from 'zod';
import {
  errorReplySchema,
  statusSchema,
  auditSchema,
  configurationReplySchema,
  editResultSchema,
  historySchema,
  jobListSchema,
} from '../daemon/operator_messages.js';
import type {
  Audit,
  EditResult,
  History,
  JobList,
  PowerSubmission,
  QuestionnaireSubmission,
  Status,
} from '../daemon/operator_messages.js';
import {
  SITE_PATH,
  SUBMISSION_PATH,
  explanationPath,
  siteInterferenceSchema,
  siteJobSchema,
  siteJobsSchema,
  siteStatusSchema,
} from '../entry/site_operators.js';
import type {
  SiteInterference,
  SiteJob,
  SiteJobs,
  SiteStatus,
} from '../entry/site_operators.js';
import type {SubmissionQuery} from '../entry/explanations.js';
import {explanationSchema} from '../leader/planning/explanation.js';
import type {Explanation} from '../leader/planning/explanation.js';
import type {Configuration} from '../model/configuration.js';
import {jobReportSchema} from '../interfaces/peer_client.js';
import type {JobReport} from '../interfaces/peer_client.js';
import {
  REQUEST_EXPLANATION_PATH,
  requestExplanationSchema,
} from '../requests/request_explanation.js';
import type {RequestExplanation} from '../requests/request_explanation.js';

const CALL_TIMEOUT_MS = 10_000;

/** A failed call, with the exit code for the tool. */
export class OperatorCallError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** The daemon rejected the call. */
export const EXIT_REFUSED = 1;
/** The daemon is unreachable or sent no valid response. */
export const EXIT_UNREACHABLE = 3;

type CallResult<T> = Promise<Result<T, OperatorCallError>>;

export class OperatorClient {
  /** `address`: operator address of a daemon as `IP:port`. */
  constructor(private readonly address: string) {}

  status(): CallResult<Status> {
    return this.call('GET', '/operator/status', statusSchema);
  }

  configuration(): CallResult<Configuration> {
    return this.call(
      'GET',
      '/operator/configuration',
      configurationReplySchema,
    );
  }

  history(): CallResult<History> {
    return this.call('GET', '/operator/configuration/history', historySchema);
  }

  submitQuestionnaire(
    submission: QuestionnaireSubmission,
  ): CallResult<EditResult> {
    const path = '/operator/questionnaires';
    return this.call('POST', path, editResultSchema, submission);
  }

  setPower(submission: PowerSubmission): CallResult<EditResult> {
    return this.call('POST', '/operator/power', editResultSchema, submission);
  }

  explainRequest(
    customerId: string,
    workClassId: string,
  ): CallResult<RequestExplanation> {
    const query = new URLSearchParams({customerId, workClassId});
    const path = `${REQUEST_EXPLANATION_PATH}?${query.toString()}`;
    return this.call('GET', path, requestExplanationSchema);
  }

  jobs(): CallResult<JobList> {
    return this.call('GET', '/operator/jobs', jobListSchema);
  }

  job(jobId: string): CallResult<JobReport> {
    const path = `/operator/jobs/${encodeURIComponent(jobId)}`;
    return this.call('GET', path, jobReportSchema);
  }

  cancelJob(jobId: string): CallResult<JobReport> {
    const path = `/operator/jobs/${encodeURIComponent(jobId)}`;
    return this.call('DELETE', path, jobReportSchema);
  }

  drain(): CallResult<Status> {
    return this.call('POST', '/operator/drain', statusSchema, {});
  }

  audit(): CallResult<Audit> {
    return this.call('GET', '/operator/audit', auditSchema);
  }

  siteStatus(): CallResult<SiteStatus> {
    return this.call('GET', `${SITE_PATH}/status`, siteStatusSchema);
  }

  siteJobs(): CallResult<SiteJobs> {
    return this.call('GET', `${SITE_PATH}/jobs`, siteJobsSchema);
  }

  siteJob(jobId: string): CallResult<SiteJob> {
    const path = `${SITE_PATH}/jobs/${encodeURIComponent(jobId)}`;
    return this.call('GET', path, siteJobSchema);
  }

  explainJob(jobId: string): CallResult<Explanation> {
    return this.call('GET', explanationPath(jobId), explanationSchema);
  }

  explainSubmission(query: SubmissionQuery): CallResult<Explanation> {
    return this.call('POST', SUBMISSION_PATH, explanationSchema, query);
  }

  siteInterference(): CallResult<SiteInterference> {
    return this.call(
      'GET',
      `${SITE_PATH}/interference`,
      siteInterferenceSchema,
    );
  }

  cancelSiteJob(jobId: string): CallResult<{jobId: string}> {
    const path = `${SITE_PATH}/jobs/${encodeURIComponent(jobId)}`;
    return this.call('DELETE', path, z.object({jobId: z.string()}));
  }

  private async call<T>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    schema: z.ZodType<T>,
    body?: unknown,
  ): CallResult<T> {
    try {
      const response = await request(`http://${this.address}${path}`, {
        method,
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
        ...(body === undefined
          ? {}
          : {
              body: JSON.stringify(body),
              headers: {'content-type': 'application/json'},
            }),
      });
      return readReply(response.statusCode, await response.body.json(), schema);
    } catch (error) {
      return Result.err(unreachableError(this.address, error));
    }
  }
}

function readReply<T>(
  statusCode: number,
  reply: unknown,
  schema: z.ZodType<T>,
): Result<T, OperatorCallError> {
  if (statusCode >= 200 && statusCode < 300) {
    const parsed = schema.safeParse(reply);
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err(
      new OperatorCallError(
        'the response of the daemon does not match the expected schema; ' +
          'use the tool of the same release as the daemon',
        EXIT_UNREACHABLE,
      ),
    );
  }
  const parsed = errorReplySchema.safeParse(reply);
  const text = parsed.success
    ? `${parsed.data.error.message}; ${parsed.data.error.remedy}`
    : `the daemon answered with status ${statusCode}`;
  return Result.err(new OperatorCallError(text, EXIT_REFUSED));
}

function unreachableError(address: string, error: unknown): OperatorCallError {
  const detail = error instanceof Error ? error.message : String(error);
  return new OperatorCallError(
    `no answer from ${address} (${detail}); ` +
      "check --daemon and that the daemon's VM is live, or ask another daemon",
    EXIT_UNREACHABLE,
  );
}
