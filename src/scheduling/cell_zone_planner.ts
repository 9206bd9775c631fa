/**
 * Planner that allocates aligned cells and binds guaranteed cells when they
 * are first used. `PlanningPass` makes the decisions on its state, and
 * `explanation.ts` describes them to operators.
 */

import {Result} from 'true-myth';
import type {Configuration} from '../model/configuration.js';
import {InvalidInputError, RefusedError} from '../model/errors.js';
import type {AvailabilityZone, Instant, JobId, VmId} from '../model/ids.js';
import {after} from '../model/ids.js';
import type {JobRecord} from '../model/jobs.js';
import type {CellSize} from '../model/shapes.js';
import {ACCELERATORS_PER_RACK, cellSizeFor} from '../model/shapes.js';
import type {JobExplanation} from '../interfaces/peer_client.js';
import {explainJob} from './explanation.js';
import {PlannedJob} from './planned_job.js';
import {PlanningPass, isEligibleForReservation} from './planning_pass.js';
import type {
  AdoptedGang,
  GangEnd,
  PlanAction,
  PlannedWorker,
} from './zone_planner.js';
import {ZonePlanner} from './zone_planner.js';
import {ZoneState} from './zone_state.js';

/** A task that fails sooner after its start counts against its worker. */
const EARLY_FAILURE_MS = 60_000;
/** Failures on this many different workers are attributed to the job. */
const FAILED_WORKERS_LIMIT = 3;
/**
 * Time before a preempted borrower is lent capacity again; doubled with each
 * preemption.
 */
const INITIAL_PREEMPTION_BACKOFF_MS = 30_000;
const MAXIMUM_PREEMPTION_BACKOFF_MS = 3_600_000;

export interface CellZonePlannerOptions {
  readonly availabilityZone: AvailabilityZone;
  /** Wait after which a large gang counts as starved. */
  readonly starvationBoundMs: number;
}

export class CellZonePlanner extends ZonePlanner {
  private readonly state: ZoneState;

  constructor(private readonly options: CellZonePlannerOptions) {
    super();
    this.state = new ZoneState(options.availabilityZone);
  }

  /** Number of cells visited by all decisions so far; a measure of cost. */
  get visitedCells(): number {
    return this.state.visits.visited;
  }

  /** True if all unbound guaranteed cells fit into the free cells. */
  guaranteesPack(): boolean {
    return this.state.guarantees.invariantHolds();
  }

  /** Expected run time in milliseconds, learned from earlier jobs. */
  override estimatedRunTimeMs(record: JobRecord): number {
    return this.state.runTimes.estimate(record);
  }

  override configure(configuration: Configuration): void {
    this.state.configure(configuration);
  }

  override setWorker(worker: PlannedWorker, now: Instant): void {
    this.state.setWorker(worker);
    this.updateHealth(now);
  }

  override removeWorker(workerId: VmId, now: Instant): readonly JobId[] {
    const jobIds = this.state.removeWorker(workerId);
    this.updateHealth(now);
    return jobIds;
  }

  override check(
    record: JobRecord,
  ): Result<void, InvalidInputError | RefusedError> {
    const customer = this.state.customers.get(record.customerId);
    if (customer === undefined) {
      return Result.err(
        new InvalidInputError(
          'job.customerId',
          `no customer ${record.customerId} is configured`,
          'apply a questionnaire for the customer first',
        ),
      );
    }
    const {tasks, acceleratorsPerTask} = record.shape;
    const largest = this.state.largestCell();
    const cellSize = cellSizeFor(record.shape);
    if (cellSize === undefined || cellSize > largest) {
      return Result.err(
        new RefusedError(
          `${tasks} tasks of ${acceleratorsPerTask} accelerators do not fit ` +
            `into the largest cell of ${largest} accelerators`,
          'submit a smaller gang',
        ),
      );
    }
    const ceiling = customer.acceleratorCeiling;
    if (tasks * acceleratorsPerTask > ceiling) {
      return Result.err(
        new RefusedError(
          `the gang needs ${tasks * acceleratorsPerTask} accelerators and ` +
            `the ceiling of customer ${customer.id} is ${ceiling}`,
          'submit a smaller gang or raise the ceiling',
        ),
      );
    }
    return Result.ok(undefined);
  }

  override enqueue(record: JobRecord, now: Instant): void {
    if (this.state.jobs.has(record.jobId)) return;
    const history = this.state.takeHistory(record.jobId);
    const waitingSince = history.waitingSince ?? now;
    history.waitingSince = undefined;
    this.state.addToQueue(
      new PlannedJob(record, cellSizeOf(record), waitingSince, history),
    );
  }

  override adopt(record: JobRecord, gang: AdoptedGang, now: Instant): void {
    const known = this.state.jobs.get(record.jobId);
    if (known?.placed === true) return;
    if (known !== undefined) this.state.withdraw(known);
    const history = known?.history ?? this.state.takeHistory(record.jobId);
    const job = new PlannedJob(record, cellSizeOf(record), now, history);
    this.state.adopt(job, gang);
  }

  override dequeue(jobId: JobId): void {
    const job = this.state.jobs.get(jobId);
    if (job === undefined || job.placed) return;
    this.state.withdraw(job);
  }

  override gangStarted(jobId: JobId, now: Instant): void {
    const job = this.state.jobs.get(jobId);
    if (job === undefined || !job.placed) return;
    if (job.stage === 'starting') job.stage = 'running';
    job.startedAt ??= now;
  }

  override checkpointed(jobId: JobId, now: Instant): void {
    const job = this.state.jobs.get(jobId);
    if (job?.placed === true) job.checkpointedAt = now;
  }

  override gangEnded(jobId: JobId, end: GangEnd, now: Instant): boolean {
    const job = this.state.jobs.get(jobId);
    if (job === undefined || !job.placed) return false;
    this.state.removeGang(job);
    const isJobAtFault = this.recordGangEnd(job, end, now);
    this.updateHealth(now);
    return isJobAtFault;
  }

  override plan(now: Instant): readonly PlanAction[] {
    this.updateHealth(now);
    const {starvationBoundMs} = this.options;
    return new PlanningPass(this.state, starvationBoundMs, now).run();
  }

  override nextDecisionAt(now: Instant): Instant | undefined {
    const times: Instant[] = [];
    const nextHealth = this.state.health.nextQuarantineEnd();
    if (nextHealth !== undefined) times.push(nextHealth);
    for (const job of this.state.jobs.values()) {
      if (job.stage !== 'queued') continue;
      if (job.history.notBefore !== undefined) {
        times.push(job.history.notBefore);
      }
      if (isEligibleForReservation(job)) {
        times.push(after(job.waitingSince, this.options.starvationBoundMs));
      }
    }
    const later = times.filter((time) => time > now);
    return later.length > 0 ? (Math.min(...later) as Instant) : undefined;
  }

  override explain(jobId: JobId, now: Instant): JobExplanation | undefined {
    const job = this.state.jobs.get(jobId);
    return job === undefined ? undefined : explainJob(this.state, job, now);
  }

  override quarantined(now: Instant): readonly VmId[] {
    this.updateHealth(now);
    return this.state.health.quarantined();
  }

  /** Updates worker health and run times; true if the job is at fault. */
  private recordGangEnd(job: PlannedJob, end: GangEnd, now: Instant): boolean {
    const {health, runTimes} = this.state;
    const {history, jobId} = job;
    const runTimeMs = job.startedAt === undefined ? 0 : now - job.startedAt;
    history.runTimeMs += runTimeMs;
    switch (end.kind) {
      case 'finished':
        runTimes.observe(job.record, history.runTimeMs);
        for (const task of job.placement?.tasks ?? []) {
          health.recordSuccess(task.workerId);
        }
        return false;
      case 'withdrawn':
        this.state.keepHistory(job);
        history.waitingSince = job.waitingSince;
        for (const workerId of end.suspectWorkers) {
          health.recordFailure(workerId, jobId);
          history.workersToAvoid.add(workerId);
        }
        return false;
      case 'setAside':
        this.state.keepHistory(job);
        this.backOffAfterPreemption(job, now);
        return false;
      case 'failed':
        return this.recordTaskFailure(job, end.workerId, runTimeMs);
      case 'lost':
        this.state.keepHistory(job);
        return false;
      case 'cancelled':
        return false;
    }
  }

  private recordTaskFailure(
    job: PlannedJob,
    workerId: VmId,
    runTimeMs: number,
  ): boolean {
    const {health} = this.state;
    const {failedOn, workersToAvoid} = job.history;
    if (runTimeMs < EARLY_FAILURE_MS) health.recordFailure(workerId, job.jobId);
    else health.recordSuccess(workerId);
    failedOn.add(workerId);
    workersToAvoid.add(workerId);
    if (failedOn.size < FAILED_WORKERS_LIMIT) {
      this.state.keepHistory(job);
      return false;
    }
    health.discardFailuresOf(job.jobId);
    return true;
  }

  /** Delays the next start of a preempted borrower on lent capacity. */
  private backOffAfterPreemption(job: PlannedJob, now: Instant): void {
    if (job.stage !== 'leaving') return;
    const {history} = job;
    const doubled = INITIAL_PREEMPTION_BACKOFF_MS * 2 ** history.preemptions;
    const backoffMs = Math.min(doubled, MAXIMUM_PREEMPTION_BACKOFF_MS);
    history.preemptions += 1;
    history.notBefore = after(now, backoffMs);
  }

  private updateHealth(now: Instant): void {
    const {health, workers} = this.state;
    for (const workerId of health.update(workers, now)) {
      this.state.applyWorker(workerId);
    }
  }
}

/**
 * A shape that fits no rack gets the size of a whole rack; it is never started,
 * see `ZoneState.mayStart`.
 */
function cellSizeOf(record: JobRecord): CellSize {
  return cellSizeFor(record.shape) ?? ACCELERATORS_PER_RACK;
}
