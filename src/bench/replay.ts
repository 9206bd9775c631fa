/**
 * Discrete-event simulation of a workload under one policy. Only what the
 * planner can observe of workers is simulated: a started gang runs for its
 * actual run time, or fails because of a faulty worker or a faulty job.
 */

import type {Customer, PowerState} from '../model/configuration.js';
import type {CustomerId, Instant, JobId, VmId} from '../model/ids.js';
import {after} from '../model/ids.js';
import type {CellSize} from '../model/shapes.js';
import {CELL_SIZES, cellSizeFor} from '../model/shapes.js';
import {guaranteeShortfall} from '../scheduling/packing.js';
import type {PowerPlanJob} from '../scheduling/power_plan.js';
import {planForFuel} from '../scheduling/power_plan.js';
import type {GangEnd, GangPlacement} from '../scheduling/zone_planner.js';
import {GuaranteedWork, fitsGuaranteedCell} from './guaranteed_work.js';
import type {JobsSummary, TimeSummary, ZoneSummary} from './measures.js';
import {Measures} from './measures.js';
import type {GuaranteedWait} from './measures.js';
import {Occupancy} from './occupancy.js';
import type {Policy, PolicyName} from './policies.js';
import {createPolicy} from './policies.js';
import {Timeline} from './timeline.js';
import type {Workload, WorkloadEvent, WorkloadJob} from './workload.js';
import {shouldFinish} from './workload.js';

/** Default of the setting `reclaimBoundMs`. */
export const RECLAIM_BOUND_MS = 1_000;
/** Time to start a gang: hold, read back and release, three calls in a zone. */
const START_LATENCY_MS = 50;
/** Time from the start of a task on a faulty worker to its failure. */
const FAULT_DELAY_MS = 5_000;
/** Longest time simulated after the submission period, for remaining jobs. */
const DRAIN_LIMIT_MS = 30 * 24 * 3_600_000;
const IDLE_WORKER_WATTS = 300;
const ACCELERATOR_WATTS = 300;
const WATT_MILLISECONDS_PER_KILOWATT_HOUR = 3_600_000_000;

export interface PolicyResult {
  readonly policy: PolicyName;
  readonly total: JobsSummary;
  readonly customers: ReadonlyMap<CustomerId, JobsSummary>;
  readonly zone: ZoneSummary;
  /** Per call of `plan`; undefined if the policy does not count cells. */
  readonly visitedCells: TimeSummary | undefined;
  readonly refused: number;
  readonly wronglyBlamed: number;
  /** Energy drawn from the generator while at least one gang was placed. */
  readonly generatorKilowattHours: number;
  readonly overdue: readonly GuaranteedWait[];
}

/** Runs all events of the workload and returns the results. */
export function replay(workload: Workload, name: PolicyName): PolicyResult {
  return new Replay(workload, createPolicy(name, workload)).run();
}

/** One placement of a job's gang, up to its end. */
interface Attempt {
  readonly placement: GangPlacement;
  /** Start of the wait within the guarantee; undefined if there was none. */
  readonly outstandingSince: Instant | undefined;
  startedAt: Instant | undefined;
  /** Run time of this attempt up to its last checkpoint. */
  checkpointedMs: number;
  isStopping: boolean;
}

interface JobState {
  readonly job: WorkloadJob;
  /** Run time completed in earlier attempts, according to their checkpoints. */
  completedMs: number;
  attempt: Attempt | undefined;
  hasStarted: boolean;
}

class Replay {
  private now: Instant;
  private power: PowerState = {supply: 'grid'};
  private generatorEnergy = 0;
  private runningTasks = 0;
  private guaranteesFit = true;
  /** True if an event at the current instant could change a decision. */
  private needsDecision = false;
  /** Quarantined workers for which `guaranteesFit` was computed. */
  private lastQuarantineKey = '';
  private readonly timeline = new Timeline();
  private readonly measures = new Measures();
  private readonly occupancy: Occupancy;
  private readonly guaranteedWork: GuaranteedWork;
  private readonly customers: ReadonlyMap<CustomerId, Customer>;
  /** Jobs that have been submitted and have not ended. */
  private readonly states = new Map<JobId, JobState>();
  private readonly failingWorkers = new Set<VmId>();
  /** Number of queued jobs that fit a guaranteed cell, by cell size. */
  private readonly waitingBySize = new Map<CellSize, number>();
  /** Instants for which a decision is scheduled. */
  private readonly decisionTimes = new Set<Instant>();

  constructor(
    private readonly workload: Workload,
    private readonly policy: Policy,
  ) {
    const {configuration, availabilityZone, workers} = workload;
    this.now = workload.startsAt;
    this.customers = new Map(
      configuration.customers.map((customer) => [customer.id, customer]),
    );
    this.occupancy = new Occupancy(workers, policy.isAligned);
    this.guaranteedWork = new GuaranteedWork(
      this.customers,
      availabilityZone,
      (record, waitMs) => {
        const {jobId, customerId} = record;
        this.measures.recordGuaranteedWait(record, waitMs);
        if (waitMs <= RECLAIM_BOUND_MS) return;
        this.measures.overdue.push({jobId, customerId, at: this.now, waitMs});
      },
    );
  }

  run(): PolicyResult {
    const {planner} = this.policy;
    const {configuration, workers, events, endsAt} = this.workload;
    planner.configure(configuration);
    for (const worker of workers) planner.setWorker(worker, this.now);
    for (const event of events) {
      this.timeline.add(event.at, () => this.apply(event));
    }
    const limit = after(endsAt, DRAIN_LIMIT_MS);
    let next = this.timeline.nextAt();
    while (next !== undefined && next <= limit) {
      this.advance(next);
      this.needsDecision = false;
      this.timeline.runDue(next);
      if (this.needsDecision) this.decide();
      next = this.timeline.nextAt();
    }
    for (const {job} of this.states.values()) {
      this.guaranteedWork.jobEnded(job.record, this.now);
      this.measures.recordUnfinished(job);
    }
    return this.result();
  }

  private result(): PolicyResult {
    const {measures, policy, workload} = this;
    const accelerators = workload.workers.reduce(
      (sum, worker) => sum + worker.accelerators,
      0,
    );
    const isCounted = policy.visitedCells() !== undefined;
    return {
      policy: policy.name,
      total: measures.totalSummary(),
      customers: measures.customerSummaries(),
      zone: measures.zone.summary(accelerators),
      visitedCells: isCounted ? measures.visitedCells.summary() : undefined,
      refused: measures.refused,
      wronglyBlamed: measures.wronglyBlamed,
      generatorKilowattHours:
        this.generatorEnergy / WATT_MILLISECONDS_PER_KILOWATT_HOUR,
      overdue: measures.overdue,
    };
  }

  private apply(event: WorkloadEvent): void {
    this.needsDecision = true;
    switch (event.kind) {
      case 'submit':
        this.submit(event.job);
        return;
      case 'cancel':
        this.cancel(event.jobId);
        return;
      case 'workerFault':
        if (event.failsTasks) this.failingWorkers.add(event.workerId);
        else this.failingWorkers.delete(event.workerId);
        return;
      case 'power':
        this.power = event.power;
        if (event.power.supply === 'generator') this.applyFuelPlan(event.power);
        return;
    }
  }

  /** Advances to `to` and accounts for the interval; no state changed in it. */
  private advance(to: Instant): void {
    const lengthMs = Math.min(to, this.workload.endsAt) - this.now;
    if (this.power.supply === 'generator') {
      if (this.occupancy.used > 0) {
        this.generatorEnergy += this.drawWatts() * (to - this.now);
      }
    } else if (lengthMs > 0) {
      const largestWaiting = this.largestWaiting();
      const {zone} = this.measures;
      const largestOutstanding = this.guaranteedWork.largestOutstanding();
      zone.add(
        this.occupancy,
        largestWaiting,
        largestOutstanding,
        this.runningTasks,
        lengthMs,
      );
    }
    this.now = to;
  }

  private decide(): void {
    const {planner} = this.policy;
    const quarantined = planner.quarantined(this.now);
    this.occupancy.setUnavailable(quarantined);
    const guaranteesApply =
      this.power.supply === 'grid' && this.doGuaranteesFit(quarantined);
    this.guaranteedWork.update(guaranteesApply, this.now);
    if (this.power.supply !== 'grid') return;
    const visitedBefore = this.policy.visitedCells();
    for (const action of planner.plan(this.now)) {
      if (action.kind === 'start') this.start(action.placement);
      else this.preempt(action.jobId);
    }
    // Capacity that a preempted gang no longer uses may bring the customer's
    // next job within its guarantee.
    this.guaranteedWork.update(guaranteesApply, this.now);
    const visited = this.policy.visitedCells();
    if (visited !== undefined && visitedBefore !== undefined) {
      this.measures.visitedCells.add(visited - visitedBefore);
    }
    this.scheduleDecision(planner.nextDecisionAt(this.now));
  }

  private scheduleDecision(at: Instant | undefined): void {
    if (at === undefined || this.decisionTimes.has(at)) return;
    this.decisionTimes.add(at);
    this.timeline.add(at, () => {
      this.decisionTimes.delete(at);
      this.needsDecision = true;
    });
  }

  /** True if the workers that are not quarantined can hold all guarantees. */
  private doGuaranteesFit(quarantined: readonly VmId[]): boolean {
    const key = quarantined.join();
    if (key === this.lastQuarantineKey) return this.guaranteesFit;
    const {configuration, workers, availabilityZone} = this.workload;
    const shortfall = guaranteeShortfall(
      configuration.customers,
      workers.filter(({workerId}) => !quarantined.includes(workerId)),
      availabilityZone,
    );
    this.lastQuarantineKey = key;
    this.guaranteesFit = shortfall === undefined;
    return this.guaranteesFit;
  }

  private submit(job: WorkloadJob): void {
    const {record} = job;
    if (this.policy.planner.check(record).isErr) {
      this.measures.refused += 1;
      return;
    }
    const state: JobState = {
      job,
      completedMs: 0,
      attempt: undefined,
      hasStarted: false,
    };
    this.states.set(record.jobId, state);
    this.enqueue(state);
  }

  private enqueue({job}: JobState): void {
    this.countWaiting(job, 1);
    this.guaranteedWork.jobQueued(job.record);
    this.policy.planner.enqueue(job.record, this.now);
  }

  private cancel(jobId: JobId): void {
    const state = this.states.get(jobId);
    if (state === undefined) return;
    if (state.attempt !== undefined) {
      this.endAttempt(state, state.attempt, {kind: 'cancelled'});
    } else {
      this.countWaiting(state.job, -1);
      this.policy.planner.dequeue(jobId);
    }
    this.endJob(state);
  }

  private start(placement: GangPlacement): void {
    const state = this.states.get(placement.jobId);
    if (state === undefined || state.attempt !== undefined) {
      throw new Error(
        `planner started ${placement.jobId}, which is not queued`,
      );
    }
    const {record} = state.job;
    const attempt: Attempt = {
      placement,
      outstandingSince: this.guaranteedWork.outstandingSince(record.jobId),
      startedAt: undefined,
      checkpointedMs: 0,
      isStopping: false,
    };
    state.attempt = attempt;
    this.countWaiting(state.job, -1);
    this.guaranteedWork.jobStarted(record, this.now);
    this.occupancy.occupy(placement);
    this.runningTasks += placement.tasks.length;
    this.recordFirstStart(state);
    this.scheduleFor(state, attempt, START_LATENCY_MS, () =>
      this.release(state, attempt),
    );
  }

  private recordFirstStart(state: JobState): void {
    const {record} = state.job;
    if (state.hasStarted) return;
    state.hasStarted = true;
    const customer = this.customers.get(record.customerId);
    const {availabilityZone} = this.workload;
    if (!fitsGuaranteedCell(record, customer, availabilityZone)) return;
    if (!shouldFinish(state.job)) return;
    this.measures.recordStartDelay(record, this.now - record.submittedAt);
  }

  /** Starts the held tasks and schedules the end of the attempt. */
  private release(state: JobState, attempt: Attempt): void {
    if (attempt.isStopping) return;
    const {job} = state;
    const {record} = job;
    attempt.startedAt = this.now;
    this.policy.planner.gangStarted(record.jobId, this.now);
    if (record.urgency === 'urgent' && attempt.outstandingSince !== undefined) {
      this.measures.recordUrgentWait(
        record,
        this.now - attempt.outstandingSince,
      );
    }
    const workerIds = attempt.placement.tasks.map((task) => task.workerId);
    const failing = workerIds.find((id) => this.failingWorkers.has(id));
    if (failing !== undefined) {
      this.scheduleFailure(state, attempt, failing, FAULT_DELAY_MS);
    } else if (job.failsAfterMs !== undefined) {
      const [first] = workerIds;
      if (first === undefined) throw new Error('gang without tasks');
      this.scheduleFailure(state, attempt, first, job.failsAfterMs);
    } else {
      const leftMs = job.runTimeMs - state.completedMs;
      this.scheduleFor(state, attempt, leftMs, () =>
        this.finish(state, attempt),
      );
      this.scheduleCheckpoint(state, attempt);
    }
  }

  private scheduleFailure(
    state: JobState,
    attempt: Attempt,
    workerId: VmId,
    delayMs: number,
  ): void {
    this.scheduleFor(state, attempt, delayMs, () => {
      const end: GangEnd = {kind: 'failed', workerId};
      const isJobFaulty = this.endAttempt(state, attempt, end);
      if (!isJobFaulty) {
        this.enqueue(state);
        return;
      }
      if (shouldFinish(state.job)) this.measures.wronglyBlamed += 1;
      this.endJob(state);
    });
  }

  private finish(state: JobState, attempt: Attempt): void {
    this.endAttempt(state, attempt, {kind: 'finished'});
    this.measures.recordFinished(state.job, this.now);
    this.endJob(state);
  }

  private scheduleCheckpoint(state: JobState, attempt: Attempt): void {
    const {job} = state;
    this.scheduleFor(state, attempt, job.checkpointIntervalMs, () => {
      if (attempt.isStopping) return;
      attempt.checkpointedMs = this.ranMs(attempt);
      this.policy.planner.checkpointed(job.record.jobId, this.now);
      this.scheduleCheckpoint(state, attempt);
    });
  }

  private preempt(jobId: JobId): void {
    const state = this.states.get(jobId);
    if (state?.attempt === undefined) {
      throw new Error(`planner preempted ${jobId}, which is not running`);
    }
    const {record} = state.job;
    this.checkpointAndStop(state, state.attempt, (lostMs) =>
      this.measures.recordPreemption(record, lostMs),
    );
  }

  /**
   * Requests a checkpoint, stops the gang and queues its job again. Work since
   * the last checkpoint is lost if the new one exceeds the reclaim bound.
   */
  private checkpointAndStop(
    state: JobState,
    attempt: Attempt,
    onStopped: (lostMs: number) => void,
  ): void {
    if (attempt.isStopping) return;
    attempt.isStopping = true;
    this.guaranteedWork.jobStopping(state.job.record);
    const {checkpointMs} = state.job;
    const isInTime = checkpointMs <= RECLAIM_BOUND_MS;
    const retainedMs = isInTime ? this.ranMs(attempt) : attempt.checkpointedMs;
    const hasStarted = attempt.startedAt !== undefined;
    const stopMs = hasStarted
      ? Math.min(checkpointMs, RECLAIM_BOUND_MS)
      : START_LATENCY_MS;
    this.scheduleFor(state, attempt, stopMs, () => {
      state.completedMs += retainedMs;
      onStopped(this.ranMs(attempt) - retainedMs);
      this.endAttempt(state, attempt, {kind: 'setAside'});
      this.enqueue(state);
    });
  }

  private endAttempt(state: JobState, attempt: Attempt, end: GangEnd): boolean {
    state.attempt = undefined;
    this.needsDecision = true;
    this.occupancy.release(attempt.placement);
    this.runningTasks -= attempt.placement.tasks.length;
    const {jobId} = attempt.placement;
    return this.policy.planner.gangEnded(jobId, end, this.now);
  }

  private endJob({job}: JobState): void {
    this.states.delete(job.record.jobId);
    this.guaranteedWork.jobEnded(job.record, this.now);
  }

  /** Runs `run` after the delay unless the attempt has ended by then. */
  private scheduleFor(
    state: JobState,
    attempt: Attempt,
    delayMs: number,
    run: () => void,
  ): void {
    this.timeline.add(after(this.now, delayMs), () => {
      if (state.attempt === attempt) run();
    });
  }

  private ranMs(attempt: Attempt): number {
    return attempt.startedAt === undefined ? 0 : this.now - attempt.startedAt;
  }

  /** Stops each gang now or, if the plan lets it finish, at `endsBy`. */
  private applyFuelPlan(
    fuel: Extract<PowerState, {supply: 'generator'}>,
  ): void {
    const running = [...this.states.values()].flatMap((state) =>
      state.attempt === undefined ? [] : [{state, attempt: state.attempt}],
    );
    const jobs = running.map(({state, attempt}) =>
      this.toPowerPlanJob(state, attempt),
    );
    const plan = planForFuel(jobs, fuel, this.drawWatts(), this.now);
    const steps = new Map(plan.steps.map((step) => [step.jobId, step]));
    for (const {state, attempt} of running) {
      const step = steps.get(state.job.record.jobId);
      const stop = () =>
        this.checkpointAndStop(state, attempt, (lostMs) =>
          this.measures.recordPowerStop(state.job.record, lostMs),
        );
      if (step?.kind !== 'finish') stop();
      else this.scheduleFor(state, attempt, step.endsBy - this.now, stop);
    }
  }

  private toPowerPlanJob(
    {job, completedMs}: JobState,
    attempt: Attempt,
  ): PowerPlanJob {
    const {tasks, acceleratorsPerTask} = job.record.shape;
    const accelerators = tasks * acceleratorsPerTask;
    const estimate = this.policy.estimatedRunTimeMs(job.record);
    const ranMs = this.ranMs(attempt);
    return {
      jobId: job.record.jobId,
      guaranteed: attempt.placement.guaranteed,
      remainingRunTimeMs: Math.max(0, estimate - completedMs - ranMs),
      drawWatts: accelerators * ACCELERATOR_WATTS,
      checkpointMs: Math.min(job.checkpointMs, RECLAIM_BOUND_MS),
      workSinceCheckpoint: (ranMs - attempt.checkpointedMs) * accelerators,
    };
  }

  private drawWatts(): number {
    const idle = this.workload.workers.length * IDLE_WORKER_WATTS;
    return idle + this.occupancy.used * ACCELERATOR_WATTS;
  }

  private countWaiting({record}: WorkloadJob, difference: number): void {
    const size = cellSizeFor(record.shape);
    const customer = this.customers.get(record.customerId);
    const {availabilityZone} = this.workload;
    if (size === undefined) return;
    if (!fitsGuaranteedCell(record, customer, availabilityZone)) return;
    const count = this.waitingBySize.get(size) ?? 0;
    this.waitingBySize.set(size, count + difference);
  }

  private largestWaiting(): CellSize | undefined {
    return CELL_SIZES.findLast(
      (size) => (this.waitingBySize.get(size) ?? 0) > 0,
    );
  }
}
