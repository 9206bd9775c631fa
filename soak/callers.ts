/**
 * Callers of a soak: they submit jobs through random daemons, retry submissions
 * without a definite answer under the same id, poll states, and cancel some
 * jobs. The answers are checked against what the workers observed.
 */

import type {Ledger} from '../emulator/ledger.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {JobId} from '../src/model/ids.js';
import {taskName} from '../src/model/submissions.js';
import type {Submission} from '../src/model/submissions.js';
import {parseJson} from '../src/transport/http_call.js';
import {ConnectionsByAddress} from '../src/transport/http_connections.js';
import type {HttpAnswer} from '../src/transport/http_connections.js';
import {z} from 'zod';
import {pick} from './random_choice.js';

/** Time that callers wait for an answer, as callers of real sites do. */
const CALL_TIMEOUT_MS = 3_000;
const SUBMIT_ATTEMPTS = 5;
const RETRY_DELAY_MS = 250;
const POLL_INTERVAL_MS = 700;

/** Documented bound after which every daemon must know an accepted job. */
const VISIBILITY_BOUND_MS = 3_000;

const CANCEL_SHARE = 0.1;

/** Share of submissions that are cancelled after a call without an answer. */
const ABANDON_SHARE = 0.3;

interface JobKind {
  readonly gangShare: number;
  /** All tasks are on different workers. */
  readonly isSpread: boolean;
  /** Share of jobs that must run in one rack. */
  readonly rackShare: number;
  /** Choices of the number of accelerators per task. */
  readonly accelerators: readonly number[];
  readonly minimumTasks: number;
  readonly maximumTasks: number;
  readonly minimumWorkMs: number;
  readonly maximumWorkMs: number;
  readonly secondStepShare: number;
}

/** Share of long jobs, whose tasks are seconds into their work at a crash. */
const LONG_JOB_SHARE = 0.2;
const LONG_JOB: JobKind = {
  gangShare: 0.5,
  isSpread: false,
  rackShare: 0.15,
  accelerators: [1, 2, 4],
  minimumTasks: 1,
  maximumTasks: 3,
  minimumWorkMs: 3_000,
  maximumWorkMs: 6_000,
  secondStepShare: 0,
};
const SHORT_JOB: JobKind = {
  gangShare: 0.5,
  isSpread: false,
  rackShare: 0.15,
  accelerators: [1, 2, 4],
  minimumTasks: 1,
  maximumTasks: 5,
  minimumWorkMs: 100,
  maximumWorkMs: 1_600,
  secondStepShare: 0.3,
};

/** A task with all accelerators of its worker is alone there. */
export const WORKER_ACCELERATORS = 8;

/** Share of gangs whose members are all on different workers, of all jobs. */
const SPREAD_GANG_SHARE = 0.3;
const SPREAD_GANG: JobKind = {
  gangShare: 1,
  isSpread: true,
  rackShare: 0,
  accelerators: [1, 2, WORKER_ACCELERATORS],
  minimumTasks: 2,
  maximumTasks: 4,
  minimumWorkMs: 300,
  maximumWorkMs: 4_000,
  secondStepShare: 0,
};

/** Share of jobs with a task that crashes every worker that starts it. */
const CRASHING_SHARE = 0.06;
const CONNECTIONS_PER_DAEMON = 64;
const MAXIMUM_ANSWER_BYTES = 65_536;

/** Number of failed runs of one task after which its job fails. */
export const MAXIMUM_ATTEMPTS = 4;

export const CALLER_KEY = 'caller-key';
export const CALLER_HOST = 'queues.example';
const KEY_HEADER = 'Bramleystep-Credential';

const stateSchema = z.object({state: z.string()});

export interface CallerCounts {
  submitted: number;
  accepted: number;
  refused: number;
  /** Jobs not accepted, with an attempt that may have taken effect. */
  undecided: number;
  ended: number;
  /** Jobs shown as failed with fewer failed runs than are allowed. */
  givenUp: number;
  /**
   * Of these, jobs none of whose tasks crashes its workers, though so many
   * workers crashed under one of them that no rule is broken.
   */
  givenUpWrongly: number;
}

export class Callers {
  readonly counts: CallerCounts = {
    submitted: 0,
    accepted: 0,
    refused: 0,
    undecided: 0,
    ended: 0,
    givenUp: 0,
    givenUpWrongly: 0,
  };
  /** Accepted jobs whose end has not been observed. */
  readonly openJobs = new Map<
    JobId,
    {acceptedAt: number; isCancelled: boolean}
  >();
  /** Describes the jobs that `counts.givenUpWrongly` counts. */
  readonly wronglyGivenUp: string[] = [];
  private readonly refused = new Set<JobId>();
  private readonly connections: ConnectionsByAddress;
  private isStopping = false;

  constructor(
    private readonly addresses: readonly string[],
    private readonly ledger: Ledger,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {
    this.connections = new ConnectionsByAddress(scope);
  }

  /** Submits jobs as a Poisson process until `stop` is called. */
  async submitUntilStopped(jobsPerSecond: number): Promise<void> {
    while (!this.isStopping && !this.scope.closed) {
      const gapS = -Math.log(1 - this.random.next()) / jobsPerSecond;
      await this.scope.sleep(gapS * 1_000);
      if (!this.isStopping) void this.submit();
    }
  }

  stop(): void {
    this.isStopping = true;
  }

  /** Jobs that a worker started although every submission was refused. */
  startedDespiteRefusal(): JobId[] {
    return [...this.refused].filter(
      (jobId) => this.ledger.runNumbers(jobId).length > 0,
    );
  }

  /** Returns the status of a queue request with a key; 0 without an answer. */
  async statusWithKey(address: string, key: string): Promise<number> {
    const answer = await this.send(address, 'GET', '/patient/', key);
    return answer?.status ?? 0;
  }

  private async submit(): Promise<void> {
    const {submission, body, workMs, failingTask} = randomJob(this.random);
    const {jobId, queueId} = submission;
    this.ledger.jobSubmitted(submission, workMs, failingTask);
    if (this.random.next() < CRASHING_SHARE) {
      this.ledger.markCrashing(taskName(jobId, 0, 0, 0));
    }
    this.counts.submitted += 1;
    let isUndecided = false;
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      const path = `/${queueId}/${jobId}`;
      const answer = await this.send(
        this.randomDaemonAddress(),
        'POST',
        path,
        CALLER_KEY,
        body,
      );
      if (this.scope.closed) return;
      if (answer?.status === 200) {
        await this.followAcceptedJob(submission);
        return;
      }
      if (answer?.status !== 429 && answer?.status !== 503) {
        isUndecided = true;
        if (this.random.next() < ABANDON_SHARE) {
          await this.abandon(jobId, path);
          break;
        }
      }
      if (answer !== undefined && UNEXPECTED_STATUSES.has(answer.status)) {
        this.ledger.violations.push(
          `CONFIG: a valid submission got status ${answer.status}`,
        );
      }
      await this.scope.sleep(RETRY_DELAY_MS);
    }
    if (isUndecided) {
      this.counts.undecided += 1;
    } else {
      this.counts.refused += 1;
      this.refused.add(jobId);
    }
  }

  /** Cancels a job whose submission may still be under way. */
  private async abandon(jobId: JobId, path: string): Promise<void> {
    const answer = await this.send(
      this.randomDaemonAddress(),
      'DELETE',
      path,
      CALLER_KEY,
    );
    if (answer?.status === 200 || answer?.status === 410) {
      this.ledger.jobCancelled(jobId, Date.now());
    }
  }

  private async followAcceptedJob({jobId, queueId}: Submission): Promise<void> {
    this.counts.accepted += 1;
    const job = {acceptedAt: Date.now(), isCancelled: false};
    this.openJobs.set(jobId, job);
    const path = `/${queueId}/${jobId}`;
    const willCancel = this.random.next() < CANCEL_SHARE;
    while (!this.scope.closed) {
      await this.scope.sleep(POLL_INTERVAL_MS);
      if (willCancel && !job.isCancelled) await this.cancel(jobId, path, job);
      const answer = await this.send(
        this.randomDaemonAddress(),
        'GET',
        path,
        CALLER_KEY,
      );
      if (answer === undefined) continue;
      if (
        answer.status === 410 &&
        Date.now() - job.acceptedAt > VISIBILITY_BOUND_MS
      ) {
        this.ledger.violations.push(`LOST: ${jobId} is no longer known`);
        return;
      }
      const parsed = stateSchema.safeParse(parseJson(answer.body));
      if (answer.status !== 200 || !parsed.success) continue;
      if (this.checkWhetherEnded(jobId, parsed.data.state, job.isCancelled)) {
        this.openJobs.delete(jobId);
        this.counts.ended += 1;
        return;
      }
    }
  }

  private async cancel(
    jobId: JobId,
    path: string,
    job: {isCancelled: boolean},
  ): Promise<void> {
    const answer = await this.send(
      this.randomDaemonAddress(),
      'DELETE',
      path,
      CALLER_KEY,
    );
    // Without an answer the cancellation may have taken effect.
    if (answer?.status === 503 || answer?.status === 429) return;
    job.isCancelled = true;
    if (answer?.status === 200) this.ledger.jobCancelled(jobId, Date.now());
  }

  /** Checks a reported state; returns true if the job has ended. */
  private checkWhetherEnded(
    jobId: JobId,
    state: string,
    isCancelled: boolean,
  ): boolean {
    this.ledger.checkState(jobId, state);
    if (state === 'queued' || state === 'running') return false;
    if (state === 'failed') {
      this.ledger.checkFailedJob(jobId, MAXIMUM_ATTEMPTS);
      this.countFailedJob(jobId);
    } else if (state !== 'complete' && !(state === 'canceled' && isCancelled)) {
      this.ledger.violations.push(`LOST: ${jobId} is reported as ${state}`);
    }
    return true;
  }

  /** Only failed runs count as attempts; lapsed and stopped runs do not. */
  private hasUsedAttempts(jobId: JobId): boolean {
    return this.ledger.mostFailures(jobId) >= MAXIMUM_ATTEMPTS;
  }

  private countFailedJob(jobId: JobId): void {
    if (this.hasUsedAttempts(jobId)) return;
    this.counts.givenUp += 1;
    const {ledger} = this;
    if (ledger.hasCrashingTask(jobId) || !ledger.mayBeGivenUp(jobId)) return;
    this.counts.givenUpWrongly += 1;
    this.wronglyGivenUp.push(
      `${jobId} after ${ledger.mostCrashes(jobId)} crashes under one task`,
    );
  }

  private randomDaemonAddress(): string {
    return this.addresses[this.random.nextBelow(this.addresses.length)] ?? '';
  }

  private async send(
    address: string,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    key: string,
    body?: string,
  ): Promise<HttpAnswer | undefined> {
    const answer = await this.connections
      .get(address, CONNECTIONS_PER_DAEMON)
      .exchange({
        method,
        path,
        headers: {
          host: CALLER_HOST,
          [KEY_HEADER]: key,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        ...(body === undefined ? {} : {body}),
        timeoutMs: CALL_TIMEOUT_MS,
        maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
      });
    return answer.isOk ? answer.value : undefined;
  }
}

/**
 * Statuses that a valid request must not get: every version of the
 * configuration contains the key and the queues.
 */
const UNEXPECTED_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 500]);

interface RandomJob {
  readonly submission: Submission;
  /** Body of the HTTP request that submits the job. */
  readonly body: string;
  readonly workMs: number;
  readonly failingTask: number | undefined;
}

function randomJob(random: RandomSource): RandomJob {
  const isUrgent = random.next() < 0.3;
  const kind = randomKind(random);
  const isGang = random.next() < kind.gangShare;
  const isCheckpointing = random.next() < 0.5;
  const count =
    kind.minimumTasks +
    random.nextBelow(kind.maximumTasks - kind.minimumTasks + 1);
  const accelerators = pick(random, kind.accelerators);
  const workMs =
    kind.minimumWorkMs +
    random.nextBelow(kind.maximumWorkMs - kind.minimumWorkMs);
  const hasSecondStep = random.next() < kind.secondStepShare;
  const failingTask = random.next() < 0.05 ? 0 : undefined;
  const requiredLabel = random.next() < kind.rackShare ? 'rack-0' : undefined;
  const jobId = trustedId<JobId>(randomDigits(random) + randomDigits(random));
  const stepOf = (after: number[]) => ({
    count,
    cpu: 1_000,
    memMb: 1_000,
    gpu: accelerators,
    estimateMs: workMs,
    after,
    gang: isGang,
    checkpointing: isCheckpointing,
    ...(kind.isSpread ? {antiAffinity: 1} : {}),
    ...(requiredLabel === undefined ? {} : {requirements: requiredLabel}),
  });
  const steps = hasSecondStep ? [stepOf([]), stepOf([0])] : [stepOf([])];
  const submission: Submission = {
    jobId,
    queueId: trustedId(isUrgent ? 'urgent' : 'patient'),
    serviceId: trustedId('service'),
    specification: 'text',
    steps: steps.map((step) => ({
      taskCount: step.count,
      shape: {
        processorMillicores: step.cpu,
        memoryMegabytes: step.memMb,
        accelerators: step.gpu,
      },
      estimatedMs: step.estimateMs,
      after: step.after,
      gang: step.gang,
      checkpointing: step.checkpointing,
      ...(kind.isSpread ? {maximumPerWorker: 1} : {}),
      ...(requiredLabel === undefined ? {} : {requiredLabel}),
    })),
    occurrences: 0,
    firstDueAt: 0,
    intervalMs: 0,
    submittedAt: Date.now(),
  };
  return {
    submission,
    body: JSON.stringify({spec: 'text', steps}),
    workMs,
    failingTask,
  };
}

function randomKind(random: RandomSource): JobKind {
  if (random.next() < SPREAD_GANG_SHARE) return SPREAD_GANG;
  return random.next() < LONG_JOB_SHARE ? LONG_JOB : SHORT_JOB;
}

function randomDigits(random: RandomSource): string {
  return random
    .nextBelow(2 ** 31)
    .toString(16)
    .padStart(8, '0');
}
