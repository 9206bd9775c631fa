/**
 * A first-come first-served planner, sample records and VMs, and a zone
 * controller connected to the in-memory workers and store.
 */

import {Result} from 'true-myth';
import {ZoneController} from '../src/controllers/zone_controller.js';
import {DEFAULT_ZONE_OPTIONS} from '../src/controllers/zone_options.js';
import type {
  ZoneControllerOptions,
  ZoneEvent,
} from '../src/controllers/zone_options.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SystemClock} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {RefusedError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {Instant, JobId, VmId} from '../src/model/ids.js';
import type {JobRecord} from '../src/model/jobs.js';
import type {JobExplanation} from '../src/interfaces/peer_client.js';
import type {WorkerVm} from '../src/interfaces/vm_list.js';
import {ZonePlanner} from '../src/scheduling/zone_planner.js';
import type {
  AdoptedGang,
  GangEnd,
  GangPlacement,
  PlanAction,
  PlannedWorker,
} from '../src/scheduling/zone_planner.js';
import type {FakeStore, FakeWorkers} from './zone_fakes.js';
import {ZONE} from './zone_fakes.js';

/**
 * Delays that tests wait for are short. Timeouts that must not expire are far
 * longer than any pause of a busy machine; a test that needs one to expire sets
 * it.
 */
const TEST_OPTIONS: ZoneControllerOptions = {
  ...DEFAULT_ZONE_OPTIONS,
  watchWaitMs: 50,
  watchOverrunMs: 600_000,
  workerLostAfterMs: 600_000,
  adoptionBoundMs: 600_000,
  reclaimBoundMs: 600_000,
  gangSkewBoundMs: 600_000,
  leavingGracePeriodMs: 20,
  storeWatchWaitMs: 50,
  recordWriteTimeoutMs: 600_000,
  missingRecordCheckDelayMs: 10,
  recoveryWriteIntervalMs: 2,
  initialRetryDelayMs: 2,
  maximumRetryDelayMs: 20,
};

/** First come, first served; a job fails with its third failed gang. */
export class FakePlanner extends ZonePlanner {
  readonly ends: GangEnd[] = [];
  readonly adopted: AdoptedGang[] = [];
  readonly preemptions: JobId[] = [];
  readonly placements = new Map<JobId, GangPlacement>();
  readonly queue: JobRecord[] = [];
  readonly workers = new Map<VmId, PlannedWorker>();
  readonly quarantinedWorkers = new Set<VmId>();
  private readonly failures = new Map<JobId, number>();

  override configure(): void {}

  override setWorker(worker: PlannedWorker): void {
    this.workers.set(worker.workerId, worker);
  }

  override removeWorker(workerId: VmId): readonly JobId[] {
    this.workers.delete(workerId);
    return [];
  }

  override check(record: JobRecord): Result<void, RefusedError> {
    if (record.shape.tasks <= 8) return Result.ok(undefined);
    return Result.err(new RefusedError('too large', 'ask for fewer tasks'));
  }

  override enqueue(record: JobRecord): void {
    if (this.placements.has(record.jobId)) throw new Error('already placed');
    this.queue.push(record);
  }

  override adopt(record: JobRecord, gang: AdoptedGang): void {
    this.adopted.push(gang);
    this.placements.set(record.jobId, gang);
  }

  override dequeue(jobId: JobId): void {
    const index = this.queue.findIndex((record) => record.jobId === jobId);
    if (index >= 0) this.queue.splice(index, 1);
  }

  override gangStarted(): void {}

  override checkpointed(): void {}

  override gangEnded(jobId: JobId, end: GangEnd): boolean {
    this.ends.push(end);
    this.placements.delete(jobId);
    if (end.kind !== 'failed') return false;
    this.failures.set(jobId, (this.failures.get(jobId) ?? 0) + 1);
    return (this.failures.get(jobId) ?? 0) >= 3;
  }

  override plan(): readonly PlanAction[] {
    const actions: PlanAction[] = this.preemptions
      .splice(0)
      .map((jobId) => ({kind: 'preempt', jobId, reason: 'guaranteed work'}));
    for (const record of [...this.queue]) {
      const placement = this.placementFor(record);
      if (placement === undefined) continue;
      this.dequeue(record.jobId);
      this.placements.set(record.jobId, placement);
      actions.push({kind: 'start', placement});
    }
    return actions;
  }

  override nextDecisionAt(): Instant | undefined {
    return undefined;
  }

  override explain(jobId: JobId): JobExplanation | undefined {
    const queued = this.queue.some((record) => record.jobId === jobId);
    if (!queued) return undefined;
    return {jobId, summary: 'waits', heldBy: [], freedBy: []};
  }

  override quarantined(): readonly VmId[] {
    return [...this.quarantinedWorkers];
  }

  /** The first free accelerators, one worker per task. */
  private placementFor(record: JobRecord): GangPlacement | undefined {
    const used = [...this.placements.values()].flatMap((gang) =>
      gang.tasks.flatMap((task) =>
        task.accelerators.map((index) => `${task.workerId}/${index}`),
      ),
    );
    const {tasks, acceleratorsPerTask} = record.shape;
    const eligible = [...this.workers.values()].flatMap((worker) => {
      const free = Array.from({length: worker.accelerators}, (_, i) => i)
        .filter((index) => !used.includes(`${worker.workerId}/${index}`))
        .slice(0, acceleratorsPerTask);
      const fits = worker.acceptsTasks && free.length === acceleratorsPerTask;
      return fits ? [{workerId: worker.workerId, accelerators: free}] : [];
    });
    if (eligible.length < tasks) return undefined;
    const jobId = record.jobId;
    return {jobId, tasks: eligible.slice(0, tasks), guaranteed: false};
  }
}

export function workerVm(name: string, accelerators = 8): WorkerVm {
  return {
    role: 'worker',
    vmId: trustedId<VmId>(name),
    availabilityZone: ZONE,
    address: '127.0.0.1:1',
    state: 'live',
    rackId: trustedId('rack-1'),
    rackPosition: 0,
    accelerators,
  };
}

export function jobRecord(name: string, tasks: number): JobRecord {
  return {
    jobId: trustedId(name),
    customerId: trustedId('customer'),
    workClassId: trustedId('class'),
    availabilityZone: ZONE,
    shape: {tasks, acceleratorsPerTask: 8},
    urgency: 'normal',
    declaredRunTimeMs: 1_000,
    payload: 'p',
    submittedAt: instant(1),
    state: 'queued',
    reason: 'accepted',
    sequence: 0,
    attempts: 0,
  };
}

/** A controller with its own planner; workers and store may be shared. */
export class TestScheduler {
  readonly scope = new CleanupScope();
  readonly events: ZoneEvent[] = [];
  readonly planners: FakePlanner[] = [];
  readonly controller: ZoneController;

  constructor(
    workers: FakeWorkers,
    store: FakeStore,
    seed = 1,
    options: Partial<ZoneControllerOptions> = {},
  ) {
    this.controller = new ZoneController({
      zone: ZONE,
      createPlanner: () => {
        const planner = new FakePlanner();
        this.planners.push(planner);
        return planner;
      },
      workers,
      store,
      clock: new SystemClock(),
      random: new SeededRandom(seed),
      listener: {zoneEvent: (event) => this.events.push(event)},
      options: {...TEST_OPTIONS, ...options},
      scope: this.scope,
    });
  }

  /** Planner of the current or latest term. */
  get planner(): FakePlanner {
    const planner = this.planners.at(-1);
    if (planner === undefined) throw new Error('the controller never started');
    return planner;
  }

  state(jobId: JobId): string {
    const report = this.controller.job(jobId);
    return report.isOk ? report.value.record.state : report.error.kind;
  }

  hasEvent(kind: ZoneEvent['kind']): boolean {
    return this.events.some((event) => event.kind === kind);
  }
}
