/**
 * Log lines of the leader: one for each decision that touches a job, a run or
 * a belief about a worker.
 */

import type {DaemonLog, ComponentLog} from '../daemon/log.js';
import type {Instant, VmId} from '../model/ids.js';
import type {MaintenanceWave} from '../parties/maintenance_requests.js';
import type {EndedRun, LookOutcome} from '../parties/task_worker.js';
import type {VmOrderOutcome} from '../parties/vm_service.js';
import type {Job, Run, Unit} from './jobs.js';
import type {PaceChange} from './pacing.js';
import type {PoolMove} from './pool_plan.js';
import type {WorkerState} from './worker_state.js';

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

  resigned(term: number, reason: string): void {
    this.leader.warn(`term ${term} ended: ${reason}`);
  }

  handedOver(term: number, address: string, hasEnded: boolean): void {
    const outcome = hasEnded ? 'ended' : 'did not end';
    this.leader.info(`${address} ${outcome} the lease of term ${term}`);
  }

  uncertain(term: number, reason: string): void {
    this.leader.warn(`term ${term} is not certain: ${reason}`);
  }

  certainAgain(term: number): void {
    this.leader.info(`term ${term} is certain again`);
  }

  adopted(jobs: number, runs: number, tookMs: number): void {
    const took = Math.round(tookMs);
    this.leader.info(`adopted ${jobs} jobs and ${runs} runs in ${took} ms`);
  }

  storeUnanswered(what: string, reason: string): void {
    this.leader.warn(`cannot follow ${what}: ${reason}`);
  }

  commitDelayed(reason: string): void {
    this.leader.warn(`records are not durable yet: ${reason}`);
  }

  unreadableRecord(reason: string): void {
    this.leader.error(`left out a record: ${reason}`);
  }

  adviceMissing(step: string, reason: string): void {
    this.jobs.warn(`no advice for ${step}: ${reason}`);
  }

  advised(step: string, asked: number, admitted: number): void {
    this.jobs.info(`${admitted} of ${asked} workers may run ${step}`);
  }

  jobEnded(job: Job, now: Instant): void {
    const ageMs = now - job.acceptedAt;
    this.jobs.info(`${job.state} after ${ageMs} ms`, {jobId: job.id});
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

  started(run: Run, now: Instant): void {
    const tookMs = now - run.plannedAt;
    this.run(run, `${run.task} run ${run.run} confirmed after ${tookMs} ms`);
  }

  runEnded(run: Run, ending: string, failures: number): void {
    this.run(
      run,
      `${run.task} run ${run.run} ended ${ending}, ${failures} failures`,
    );
  }

  runLost(run: Run, reason: string): void {
    this.run(run, `${run.task} run ${run.run} is gone: ${reason}`);
  }

  preempted(run: Run): void {
    this.run(run, `${run.task} run ${run.run} makes room for guaranteed work`);
  }

  stopped(run: Run, reason: string): void {
    this.run(run, `${run.task} run ${run.run} is stopped: ${reason}`);
  }

  paced({run, percent, tailMs, targetMs}: PaceChange): void {
    this.run(
      run,
      `${run.task} run ${run.run} works at ${percent}% after ` +
        `${run.pacePercent}%: responses take ${tailMs} of ${targetMs} ms`,
    );
  }

  vmsUnlisted(reason: string): void {
    this.vms.warn(`cannot list the VMs: ${reason}`);
  }

  moveOrdered({vmId, from, to}: PoolMove, outcome: VmOrderOutcome): void {
    const detail = 'detail' in outcome ? `: ${outcome.detail}` : '';
    this.vms.info(
      `move of ${vmId} from ${from} to ${to}: ${outcome.kind}${detail}`,
    );
  }

  waveOpened({waveId, vmIds, maximumDown, durationMs}: MaintenanceWave): void {
    this.vms.info(
      `wave ${waveId}: ${vmIds.length} VMs, ${maximumDown} at once, ` +
        `in ${durationMs} ms`,
    );
  }

  waveComplete(waveId: number): void {
    this.vms.info(`wave ${waveId} is complete`);
  }

  maintenanceOrdered(
    waveId: number,
    vmId: VmId,
    outcome: VmOrderOutcome,
  ): void {
    const detail = 'detail' in outcome ? `: ${outcome.detail}` : '';
    this.vms.info(
      `wave ${waveId}: maintenance of ${vmId}: ${outcome.kind}${detail}`,
    );
  }

  orderUnanswered(run: Run): void {
    this.run(run, `${run.task} run ${run.run}: no answer, voiding the order`);
  }

  workerSilent(
    worker: WorkerState,
    outcome: LookOutcome & {kind: 'otherLife' | 'unanswered'},
  ): void {
    const reason =
      outcome.kind === 'unanswered' ? outcome.detail : 'other life';
    this.workers.warn(`no answer: ${reason}`, {workerId: worker.workerId});
  }

  workerBack(worker: WorkerState): void {
    this.workers.info('answers again', {workerId: worker.workerId});
  }

  leasesLapsed(worker: WorkerState, runs: number): void {
    this.workers.warn(`all leases lapsed, ${runs} runs are gone`, {
      workerId: worker.workerId,
    });
  }

  quarantined(worker: WorkerState, reason: string): void {
    this.workers.warn(`gets no new runs for a while: ${reason}`, {
      workerId: worker.workerId,
    });
  }

  unknownEnd(worker: WorkerState, end: EndedRun): void {
    this.workers.debug(`listed an end of no known run: ${end.task}`, {
      workerId: worker.workerId,
    });
  }

  unknownRun(worker: WorkerState, task: string, run: number): void {
    this.workers.warn(`runs ${task} run ${run} of no record, stopping it`, {
      workerId: worker.workerId,
    });
  }

  private run(run: Run, sentence: string): void {
    this.jobs.info(sentence, {
      jobId: run.unit.job.id,
      workerId: run.workerId,
    });
  }
}
