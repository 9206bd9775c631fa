/**
 * Explains on the leader where a job would go now: one that was accepted, or a
 * submission that is not sent.
 */

import {Result} from 'true-myth';
import {
  ConflictError,
  NotFoundError,
  UnavailableError,
} from '../model/errors.js';
import type {JobId} from '../model/ids.js';
import type {Submission} from '../model/submissions.js';
import type {JobRegistry} from './jobs/job_registry.js';
import {Job} from './jobs/jobs.js';
import type {Explanation} from './planning/explanation.js';
import {explainJob} from './planning/job_explanation.js';
import type {PlanningView} from './planning/planning_view.js';

/** Why there is no explanation of a decision. */
export type ExplanationError = NotFoundError | ConflictError | UnavailableError;

/** Changes nothing. Each call takes as long as a scheduling round. */
export class JobExplainer {
  constructor(
    private readonly registry: JobRegistry,
    /** What a round would know now; undefined if the leader may run none. */
    private readonly view: () => PlanningView | undefined,
  ) {}

  explainJob(jobId: JobId): Result<Explanation, ExplanationError> {
    const view = this.view();
    if (view === undefined) return Result.err(noRound());
    const job = this.registry.get(jobId);
    return job === undefined
      ? Result.err(
          new NotFoundError(
            'the leader knows no such job',
            'check the id; ended jobs are forgotten after some minutes',
          ),
        )
      : explain(job, view);
  }

  /** Explains where the job would go if it were accepted now. */
  explainSubmission(
    submission: Submission,
  ): Result<Explanation, ExplanationError> {
    const view = this.view();
    if (view === undefined) return Result.err(noRound());
    const job = new Job(submission, view.now);
    return explain(job, {...view, jobs: [...view.jobs, job]});
  }
}

function explain(
  job: Job,
  view: PlanningView,
): Result<Explanation, ExplanationError> {
  if (!job.isEnded) return Result.ok(explainJob(job, view));
  return Result.err(
    new ConflictError(
      `the job is ${job.state}, so nothing of it is placed`,
      'see site job for its end; a submission needs a step with tasks',
    ),
  );
}

function noRound(): UnavailableError {
  return new UnavailableError(
    'the leader places nothing at present',
    'try again in a few seconds; site status shows the leader',
  );
}
