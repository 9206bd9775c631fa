/**
 * Log lines of the leader: one for each decision about a job, a run or a VM and
 * each change in the known state of a worker.
 */

import type {DaemonLog, ComponentLog} from '../daemon/log.js';
import type {AvailabilityZone, Instant, VmId} from '../model/ids.js';
import type {EvacuationChange} from '../interfaces/evacuation_orders.js';
import type {MaintenanceWave} from '../interfaces/maintenance_requests.js';
import type {EndedRun, LeaseRenewalOutcome} from '../interfaces/task_worker.js';
import type {VmOrderOutcome} from '../interfaces/vm_service.js';
import type {TaskShape} from '../model/submissions.js';
import type {WorkerFate} from './losses/crash_history.js';
import type {Job, Unit} from './jobs/jobs.js';
import type {Loss} from './jobs/lost_work.js';
import type {Run} from './jobs/runs.js';
import type {InterferingPair} from './workers/interference.js';
import type {PaceChange} from './workers/pacing.js';
import type {PoolMove} from './vms/pool_plan.js';
import type {WorkerState} from './workers/worker_state.js';

export class LeaderLog {
  private readonly leader: ComponentLog;
  private readonly jobs: ComponentLog;
  private readonly workers: ComponentLog;
  private readonly vms: ComponentLog;

  constructor(log: DaemonLog) {
    this.leader = log.component('leader');
    this.jobs = log.component('jobs');
    this.workers = log.component('workers');
    this.vms = log.component('vms');
  }

  elected(term: number): void {
    this.leader.info(`elected for term ${term}`);
  }

  termEnded(term: number, reason: string): void {
    this.leader.warn(`term ${term} ended: ${reason}`);
  }

  leaseEndRelayed(term: number, address: string, hasEnded: boolean): void {
    const outcome = hasEnded ? 'ended' : 'did not end';
    this.leader.info(`peer ${address} ${outcome} the lease of term ${term}`);
  }

  termUncertain(term: number, reason: string): void {
    this.leader.warn(`leadership in term ${term} is uncertain: ${reason}`);
  }

  termCertainAgain(term: number): void {
    this.leader.info(`leadership in term ${term} is certain again`);
  }

  adopted(jobs: number, runs: number, tookMs: number): void {
    const took = Math.round(tookMs);
    this.leader.info(`adopted ${jobs} jobs and ${runs} runs in ${took} ms`);
  }

  requestFailed(what: string, reason: string): void {
    this.leader.warn(`request for ${what} failed: ${reason}`);
  }

  commitDelayed(reason: string): void {
    this.leader.warn(`records are not durable yet: ${reason}`);
  }

  unreadableRecord(reason: string): void {
    this.leader.error(`ignored an unreadable record: ${reason}`);
  }

  adviceUnavailable(step: string, reason: string): void {
    this.jobs.warn(`no advice for ${step}: ${reason}`);
  }

  adviceReceived(step: string, requested: number, admitted: number): void {
    this.jobs.info(`${admitted} of ${requested} workers may run ${step}`);
  }

  jobEnded(job: Job, now: Instant): void {
    const ageMs = now - job.acceptedAt;
    this.jobs.info(`job is ${job.state} after ${ageMs} ms`, {jobId: job.id});
  }

  placed(
    unit: Unit,
    run: number,
    workers: readonly WorkerState[],
    now: Instant,
  ): void {
    const waitedMs = now - (unit.readySince ?? now);
    const names = workers.map(({workerId}) => workerId).join(',');
    this.jobs.info(
      `placed ${unit.occurrence}.${unit.stepIndex}.${unit.firstIndex} as run ` +
        `${run} on ${names}, waited ${waitedMs} ms`,
      {jobId: unit.job.id},
    );
  }

  startConfirmed(run: Run, now: Instant): void {
    const tookMs = now - run.plannedAt;
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} confirmed after ${tookMs} ms`,
    );
  }

  runEnded(
    run: Run,
    ending: string,
    failures: number,
    loss: Loss | undefined,
  ): void {
    const lost =
      loss === undefined
        ? ''
        : `, ${Math.round(loss.coreSeconds)} core-seconds lost: ${loss.cause}`;
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} ended: ${ending}, ${failures} failures` +
        lost,
    );
  }

  runLost(run: Run, reason: string): void {
    this.logRun(run, `${run.task} run ${run.runNumber} is lost: ${reason}`);
  }

  startDropped(run: Run): void {
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} dropped before its start`,
    );
  }

  preempted(run: Run, beneficiary: Unit | undefined): void {
    const {preemptions, job} = run.unit;
    const forJob = beneficiary === undefined ? '' : ` of ${beneficiary.job.id}`;
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} in ${job.queueId} preempted for ` +
        `guaranteed work${forJob}, after ${preemptions} preemptions`,
    );
  }

  stopRequested(run: Run, reason: string): void {
    this.logRun(run, `${run.task} run ${run.runNumber} is stopped: ${reason}`);
  }

  paceChanged({run, percent, tailMs, targetMs}: PaceChange): void {
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} set to ${percent}% of full pace, was ` +
        `${run.pacePercent}%: responses ${tailMs} ms, target ${targetMs} ms`,
    );
  }

  interferenceFound(pair: InterferingPair): void {
    this.workers.info(`interference found: ${describePair(pair)}`);
  }

  interferenceGone(pair: InterferingPair): void {
    this.workers.info(`interference not confirmed: ${describePair(pair)}`);
  }

  vmListFailed(reason: string): void {
    this.vms.warn(`cannot list the VMs: ${reason}`);
  }

  moveRequested({vmId, from, to}: PoolMove, outcome: VmOrderOutcome): void {
    const detail = 'detail' in outcome ? `: ${outcome.detail}` : '';
    this.vms.info(
      `move of ${vmId} from ${from} to ${to}: ${outcome.kind}${detail}`,
    );
  }

  waveStarted({waveId, vmIds, maximumDown, durationMs}: MaintenanceWave): void {
    this.vms.info(
      `wave ${waveId}: ${vmIds.length} VMs, at most ${maximumDown} down, ` +
        `within ${durationMs} ms`,
    );
  }

  waveComplete(waveId: number): void {
    this.vms.info(`wave ${waveId} is complete`);
  }

  maintenanceRequested(
    waveId: number,
    vmId: VmId,
    outcome: VmOrderOutcome,
  ): void {
    const detail = 'detail' in outcome ? `: ${outcome.detail}` : '';
    this.vms.info(
      `wave ${waveId}: maintenance of ${vmId}: ${outcome.kind}${detail}`,
    );
  }

  evacuationChanged(
    zone: AvailabilityZone,
    kind: EvacuationChange['kind'],
  ): void {
    this.vms.info(
      kind === 'ordered'
        ? `zone ${zone} is evacuated, its workers get no new runs`
        : `zone ${zone} is taken back`,
    );
  }

  startUnanswered(run: Run): void {
    this.logRun(
      run,
      `${run.task} run ${run.runNumber}: start unanswered, voiding it`,
    );
  }

  unresponsive(
    worker: WorkerState,
    outcome: Exclude<LeaseRenewalOutcome, {kind: 'seen' | 'superseded'}>,
  ): void {
    const reason =
      outcome.kind === 'otherLife'
        ? 'another incarnation answered'
        : outcome.detail;
    this.workers.warn(`lease renewal failed: ${reason}`, {
      workerId: worker.workerId,
    });
  }

  responsive(worker: WorkerState): void {
    this.workers.info('answers lease renewals again', {
      workerId: worker.workerId,
    });
  }

  workerLost(
    {workerId, incarnation}: WorkerState,
    fate: WorkerFate,
    runs: number,
    units: number,
  ): void {
    this.workers.warn(
      `incarnation ${incarnation} is lost, fate ${fate}, with ${runs} runs ` +
        `of ${units} units`,
      {workerId},
    );
  }

  /** What is known of a run that was lost with an incarnation of its worker. */
  lossFacts(
    run: Run,
    fate: WorkerFate,
    units: number,
    endedBefore: Instant | undefined,
  ): void {
    const {incarnation, wasAdopted, wasStartSent, confirmedAt, atWorkAt} = run;
    const origin = wasAdopted ? 'adopted' : 'of this term';
    const start = wasStartSent ? 'start sent' : 'start not sent';
    const seen =
      confirmedAt === undefined
        ? 'never seen at work'
        : `seen at work for ${run.seenForMs} ms`;
    const unseen =
      atWorkAt === undefined || endedBefore === undefined
        ? 'not dated'
        : `within ${Math.round(endedBefore - atWorkAt)} ms after that`;
    this.logRun(
      run,
      `${run.task} run ${run.runNumber} is lost with incarnation ` +
        `${incarnation}, fate ${fate}: ${origin}, ${start}, ${seen}, end ` +
        `${unseen}, ${run.phase}, ${units} units there`,
    );
  }

  lossCounted(
    {job, occurrence, stepIndex, firstIndex, crashes}: Unit,
    isGivenUp: boolean,
  ): void {
    const {possibleCrashCount, probableCrashCount, decisiveCrashCount} =
      crashes;
    this.jobs.warn(
      `${occurrence}.${stepIndex}.${firstIndex} lost ` +
        `${crashes.toRecord().length} workers, under one task ` +
        `${possibleCrashCount} possibly crashed, ${probableCrashCount} of ` +
        `them probably, ${decisiveCrashCount} under it alone and soon after ` +
        `its start: ` +
        `${isGivenUp ? 'job is given up' : 'goes on'}`,
      {jobId: job.id},
    );
  }

  leasesLapsed(worker: WorkerState, runs: number): void {
    this.workers.warn(`all leases lapsed, ${runs} runs are lost`, {
      workerId: worker.workerId,
    });
  }

  quarantined(worker: WorkerState, reason: string): void {
    this.workers.warn(`quarantined: ${reason}`, {
      workerId: worker.workerId,
    });
  }

  workerListed({incarnation, entry}: WorkerState): void {
    const {workerId, vmId = 'unknown', address = 'unknown', capacity} = entry;
    this.workers.info(
      `listed: incarnation ${incarnation} on VM ${vmId} at ${address}, ` +
        describeShape(capacity),
      {workerId},
    );
  }

  workerUnlisted({workerId, incarnation, entry, runs}: WorkerState): void {
    const state = entry.isDraining ? 'draining' : 'ready';
    this.workers.info(
      `no longer listed: incarnation ${incarnation}, was ${state}, ` +
        `${runs.size} runs`,
      {workerId},
    );
  }

  capacityChanged({workerId, entry}: WorkerState, before: TaskShape): void {
    this.workers.info(
      `capacity was ${describeShape(before)}, is ` +
        describeShape(entry.capacity),
      {workerId},
    );
  }

  unknownEnd(worker: WorkerState, end: EndedRun): void {
    this.workers.debug(`reported the end of an unknown run: ${end.task}`, {
      workerId: worker.workerId,
    });
  }

  unknownRun(worker: WorkerState, task: string, run: number): void {
    this.workers.warn(`stopping ${task} run ${run}, which has no record`, {
      workerId: worker.workerId,
    });
  }

  private logRun(run: Run, sentence: string): void {
    this.jobs.info(sentence, {
      jobId: run.unit.job.id,
      workerId: run.workerId,
    });
  }
}

function describePair({
  slowed,
  beside,
  slowdown,
  observations,
}: InterferingPair): string {
  const factor = slowdown.toFixed(2);
  return `${slowed} takes ${factor} times as long beside ${beside}, seen in ${observations} runs`;
}

function describeShape({
  processorMillicores,
  memoryMegabytes,
  accelerators,
}: TaskShape): string {
  return `${processorMillicores}m cores, ${memoryMegabytes} MB, ${accelerators} accelerators`;
}
