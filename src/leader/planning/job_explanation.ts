/**
 * Explains the decisions of a round about one job. The round is the real one,
 * on a copy of what it would change, and with an observer that notes what it
 * decides about the job.
 */

import type {CustomerId} from '../../model/ids.js';
import type {Job, Unit} from '../jobs/jobs.js';
import type {Run} from '../jobs/runs.js';
import type {WorkerState} from '../workers/worker_state.js';
import {MAXIMUM_ENTRIES, MAXIMUM_GROUPS, MAXIMUM_UNITS} from './explanation.js';
import type {
  Explanation,
  GroupExplanation,
  StoppedRun,
  UnitPlacement,
  UnitStops,
  UnitWorker,
  WaitCause,
  WorkerReview,
} from './explanation.js';
import {planRound} from './placement.js';
import type {RoundPlan} from './placement.js';
import type {PlanningView} from './planning_view.js';
import type {VictimSelection} from './preemption.js';
import type {Rank} from './queue_order.js';
import type {Reservation} from './reservation.js';
import {RoundObserver} from './round_observer.js';
import type {ConsideredBatch, RoundObstacle} from './round_observer.js';
import type {RankedBatch} from './unit_ranking.js';
import {reviewWorkers} from './worker_review.js';

/**
 * Explains what the next round would decide about the job, which has to be
 * among the view's jobs. Changes nothing that the view refers to, and takes as
 * long as a round and a pass over the workers for each explained group.
 */
export function explainJob(job: Job, view: PlanningView): Explanation {
  const trial = {...view, runTimes: view.runTimes.copy()};
  const observer = new JobObserver(job, trial);
  const plan = planRound({...trial, observer});
  return observer.explain(plan);
}

/** A group of units, as the round comes to it. */
class GroupNotes {
  review: WorkerReview | undefined;
  confinesToRack = false;
  wasPassedOver = false;
  needsVacant = false;
  reservation: Reservation | undefined;
  readonly placed: UnitPlacement[] = [];
  placedUnits = 0;
  readonly stops: UnitStops[] = [];
  unitsAfterStops = 0;

  constructor(
    readonly batch: RankedBatch,
    readonly place: GroupExplanation['place'],
  ) {}

  get waitingUnits(): number {
    const {units} = this.batch;
    return units.length - this.placedUnits - this.unitsAfterStops;
  }

  get waitCause(): WaitCause {
    const {review, reservation} = this;
    if (review === undefined || review.considered === 0) return 'noWorker';
    if (this.needsVacant) return 'vacantWorker';
    if (this.wasPassedOver) return 'equalWork';
    if (reservation !== undefined) return 'reservation';
    const {tasks, tasksTogether} = review.withRoom;
    const lacksTickets = review.ruledOut.some(
      ({rule}) => rule === 'notAdmitted',
    );
    if (lacksTickets && tasks === 0) return 'tickets';
    const {taskCount} = this.batch.unit;
    const isSplit = tasks >= taskCount && tasksTogether < taskCount;
    return this.confinesToRack && isSplit ? 'rack' : 'room';
  }
}

class JobObserver extends RoundObserver {
  private readonly groups: GroupNotes[] = [];
  private readonly groupByUnit = new Map<Unit, GroupNotes>();
  private readonly guaranteedJobs: Job[] = [];
  private readonly obstacles = new Map<
    RoundObstacle,
    {units: number; first: Unit; dueAt: number}
  >();
  private rank: Rank = 'other';
  private claimed: number | undefined;
  private groupCount = 0;
  private readyUnits = 0;

  constructor(
    private readonly job: Job,
    private readonly view: PlanningView,
  ) {
    super();
  }

  override jobRanked(job: Job, rank: Rank, claimed: number | undefined): void {
    const {customerId} = this.job;
    if (rank === 'guaranteed' && job.customerId === customerId) {
      this.guaranteedJobs.push(job);
    }
    if (job !== this.job) return;
    this.rank = rank;
    this.claimed = claimed;
  }

  override unitNotReady(unit: Unit, obstacle: RoundObstacle): void {
    const {job} = this;
    if (unit.job !== job) return;
    const dueAt = Math.max(
      unit.retryAt,
      job.isScheduled ? job.dueAt(unit.occurrence) : 0,
    );
    const noted = this.obstacles.get(obstacle);
    if (noted === undefined) {
      this.obstacles.set(obstacle, {units: 1, first: unit, dueAt});
      return;
    }
    noted.units += 1;
    noted.dueAt = Math.min(noted.dueAt, dueAt);
  }

  override batchesRanked(batches: readonly RankedBatch[]): void {
    const unitsReady = batches.reduce((sum, {units}) => sum + units.length, 0);
    const jobsAhead = new Set<Job>();
    let unitsAhead = 0;
    for (const batch of batches) {
      if (batch.unit.job === this.job) {
        this.addGroup(batch, {
          jobsAhead: jobsAhead.size,
          unitsAhead,
          unitsReady,
        });
      } else {
        jobsAhead.add(batch.unit.job);
      }
      unitsAhead += batch.units.length;
    }
  }

  override batchReached(considered: ConsideredBatch): void {
    const group = this.groupByUnit.get(considered.batch.unit);
    if (group === undefined) return;
    group.review = reviewWorkers(considered, this.view, false);
    group.confinesToRack = considered.candidates.crossRack.length === 0;
  }

  override batchPassedOver(considered: ConsideredBatch): void {
    const group = this.groupByUnit.get(considered.batch.unit);
    if (group === undefined) return;
    group.review = reviewWorkers(considered, this.view, false);
    group.wasPassedOver = true;
  }

  override vacancyAwaited(considered: ConsideredBatch): void {
    const group = this.groupByUnit.get(considered.batch.unit);
    if (group === undefined) return;
    group.review = reviewWorkers(considered, this.view, true);
    group.needsVacant = true;
  }

  override stopsPlanned(unit: Unit, selection: VictimSelection): void {
    const group = this.groupByUnit.get(unit);
    if (group === undefined) return;
    group.unitsAfterStops += 1;
    if (group.stops.length >= MAXIMUM_UNITS) return;
    const {victims, allocations, cost} = selection;
    const tasksByWorker = new Map(
      allocations.map(({capacity, count}) => [capacity.worker, count]),
    );
    group.stops.push({
      ...describePlacement(unit, tasksByWorker),
      cost: Math.round(cost),
      runCount: victims.length,
      runs: victims.slice(0, MAXIMUM_ENTRIES).map(describeRun),
    });
  }

  override capacityReserved(unit: Unit, reservation: Reservation): void {
    const group = this.groupByUnit.get(unit);
    if (group !== undefined) group.reservation = reservation;
  }

  explain(plan: RoundPlan): Explanation {
    const {job, rank, view, groupCount, groups} = this;
    for (const {unit, workers} of plan.placements) this.place(unit, workers);
    const queue = view.configuration.queue(job.queueId);
    const placed = this.obstacles.get('hasRuns')?.units ?? 0;
    const done = job.doneUnitCount;
    return {
      jobId: job.id,
      ...(queue === undefined
        ? {}
        : {
            queue: {
              queueId: queue.queueId,
              host: queue.host,
              pathPrefix: queue.pathPrefix,
              serviceId: queue.serviceId,
              priority: queue.priority,
            },
          }),
      ...(job.customerId === undefined
        ? {}
        : {customer: this.describeCustomer(job.customerId)}),
      rank,
      units: {
        done,
        placed,
        ready: this.readyUnits,
        notReady: job.units.length - done - placed - this.readyUnits,
      },
      notReady: this.describeObstacles(),
      groups: groups.map((group) => this.describeGroup(group)),
      omittedGroups: groupCount - groups.length,
      ownStops: this.describeOwnStops(plan),
    };
  }

  private addGroup(batch: RankedBatch, place: GroupExplanation['place']): void {
    this.groupCount += 1;
    this.readyUnits += batch.units.length;
    if (this.groups.length >= MAXIMUM_GROUPS) return;
    const group = new GroupNotes(batch, place);
    this.groups.push(group);
    for (const unit of batch.units) this.groupByUnit.set(unit, group);
  }

  private place(unit: Unit, workers: readonly WorkerState[]): void {
    const group = this.groupByUnit.get(unit);
    if (group === undefined) return;
    group.placedUnits += 1;
    if (group.placed.length >= MAXIMUM_UNITS) return;
    const tasksByWorker = new Map<WorkerState, number>();
    for (const worker of workers) {
      tasksByWorker.set(worker, (tasksByWorker.get(worker) ?? 0) + 1);
    }
    group.placed.push(describePlacement(unit, tasksByWorker));
  }

  private describeCustomer(
    customerId: CustomerId,
  ): NonNullable<Explanation['customer']> {
    const customer = this.view.configuration.customer(customerId);
    let held = 0;
    for (const {openUnits} of this.guaranteedJobs) {
      for (const {runs, step} of openUnits) {
        held += runs.length * step.shape.accelerators;
      }
    }
    return {
      customerId,
      guaranteedAccelerators: customer?.guaranteedAccelerators ?? 0,
      heldAccelerators: held,
      ...(this.claimed === undefined
        ? {}
        : {claimedAccelerators: this.claimed}),
    };
  }

  private describeObstacles(): Explanation['notReady'] {
    return [...this.obstacles]
      .filter(([obstacle]) => obstacle !== 'hasRuns' && obstacle !== 'done')
      .map(([obstacle, {units, first, dueAt}]) => ({
        obstacle,
        units,
        firstUnit: nameOf(first),
        ...(obstacle === 'retryDelay' || obstacle === 'notDue'
          ? {inMs: dueAt - this.view.now}
          : {}),
      }));
  }

  private describeGroup(group: GroupNotes): GroupExplanation {
    const {batch, reservation, waitingUnits, waitCause} = group;
    const {unit, units, timeliness} = batch;
    return {
      step: unit.stepIndex,
      firstUnit: nameOf(unit),
      units: units.length,
      tasks: unit.taskCount,
      timeliness,
      place: group.place,
      workers: group.review ?? NO_WORKERS,
      placedUnits: group.placedUnits,
      placed: group.placed,
      unitsAfterStops: group.unitsAfterStops,
      afterStops: group.stops,
      ...(waitingUnits === 0
        ? {}
        : {
            waiting: {
              units: waitingUnits,
              cause: waitCause,
              ...(waitCause === 'reservation' && reservation !== undefined
                ? {
                    startsInMs: Math.round(
                      reservation.startsAt - this.view.now,
                    ),
                  }
                : {}),
            },
          }),
    };
  }

  private describeOwnStops({
    beneficiaries,
    doomed,
  }: RoundPlan): Explanation['ownStops'] {
    const isOwn = (run: Run) =>
      run.unit.job === this.job && run.phase !== 'stopping';
    const stops = [
      ...doomed.filter(isOwn).map(({task, workerId}) => ({task, workerId})),
      ...[...beneficiaries]
        .filter(([run]) => isOwn(run))
        .map(([{task, workerId}, unit]) => ({
          task,
          workerId,
          forJobId: unit.job.id,
        })),
    ];
    return {count: stops.length, runs: stops.slice(0, MAXIMUM_ENTRIES)};
  }
}

const NO_WORKERS: WorkerReview = {
  considered: 0,
  ruledOut: [],
  withRoom: {workers: 0, tasks: 0, tasksTogether: 0},
};

function describePlacement(
  unit: Unit,
  tasksByWorker: ReadonlyMap<WorkerState, number>,
): UnitPlacement {
  const workers: UnitWorker[] = [...tasksByWorker]
    .slice(0, MAXIMUM_ENTRIES)
    .map(([{workerId, entry}, tasks]) => ({
      workerId,
      zone: entry.zone,
      ...(entry.rackId === undefined ? {} : {rackId: entry.rackId}),
      tasks,
    }));
  return {unit: nameOf(unit), workerCount: tasksByWorker.size, workers};
}

function describeRun({task, workerId, unit}: Run): StoppedRun {
  const {id, queueId, customerId} = unit.job;
  return {
    task,
    workerId,
    jobId: id,
    queueId,
    ...(customerId === undefined ? {} : {customerId}),
  };
}

function nameOf({occurrence, stepIndex, firstIndex}: Unit): string {
  return `${occurrence}.${stepIndex}.${firstIndex}`;
}
