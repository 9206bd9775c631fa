/**
 * Runs a scenario with in-process daemons on an emulated site. Reports how many
 * jobs met their objective and which rules were violated.
 */

import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';
import {SeededRandom} from '../src/lifecycle/random.js';
import {submittedKey} from '../src/leader/jobs/records.js';
import {trustedId} from '../src/model/ids.js';
import type {CustomerId, JobId, WorkerId} from '../src/model/ids.js';
import {HostedConfiguration} from '../src/model/queues.js';
import type {Submission} from '../src/model/submissions.js';
import {EmulatedDaemon} from './daemon.js';
import type {Scenario, ScenarioFault, ScenarioLoad} from './day.js';
import {EmulatedSite, pause} from './site.js';

const MAXIMUM_ATTEMPTS = 3;
const SERVICE = 'service';
const CUSTOMER = 'customer';
/** Job estimates are off by up to this share of the work, either way. */
const ESTIMATE_ERROR_SHARE = 0.3;
const SAMPLE_INTERVAL_MS = 1_000;
const POLL_INTERVAL_MS = 10;
const SECOND_MS = 1_000;

export interface QueueReport {
  readonly queue: string;
  /** Number of submitted jobs. */
  asked: number;
  /** Completed jobs within and beyond the queue's objective. */
  inTime: number;
  late: number;
  /** Jobs that had not completed at the end. */
  open: number;
  /** Milliseconds from submission to completion. */
  readonly durations: Histogram;
}

export interface ExperimentReport {
  readonly queues: readonly QueueReport[];
  readonly violations: readonly string[];
  readonly starts: number;
  /** Number of runs that ended other than as done. */
  readonly wastedRuns: number;
  /** Number of running tasks, sampled once a second. */
  readonly running: readonly number[];
}

interface SentJob {
  readonly jobId: JobId;
  readonly load: ScenarioLoad;
  readonly sentAt: number;
  endedAt: number | undefined;
  isFailed: boolean;
}

export class Experiment {
  private readonly site: EmulatedSite;
  private readonly random: SeededRandom;
  private readonly daemons: EmulatedDaemon[] = [];
  private readonly jobs: SentJob[] = [];
  private readonly runningCounts: number[] = [];
  private readonly configuration: HostedConfiguration;
  private readonly timers: NodeJS.Timeout[] = [];
  private daemonNumber = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    // Discarded: the first number is close to 1 for every small seed.
    this.random.next();
    this.site = new EmulatedSite(scenario);
    this.configuration = configurationOf(scenario);
  }

  async run(): Promise<ExperimentReport> {
    const {scenario} = this;
    for (let i = 0; i < scenario.daemons; i += 1) this.addDaemon();
    while (this.leader() === undefined) await pause(POLL_INTERVAL_MS);
    for (const fault of scenario.faults) this.scheduleFault(fault);
    this.runPeriodically(SAMPLE_INTERVAL_MS, () =>
      this.runningCounts.push(this.countRunning()),
    );
    this.runPeriodically(POLL_INTERVAL_MS, () => this.checkJobStates());
    for (const load of scenario.load) void this.generateLoad(load);
    await pause(scenario.lengthS * SECOND_MS);
    await pause(scenario.finishS * SECOND_MS);
    for (const timer of this.timers) clearInterval(timer);
    for (const daemon of this.daemons) await daemon.kill();
    this.site.close();
    return this.report();
  }

  private addDaemon(): void {
    this.daemonNumber += 1;
    this.daemons.push(
      new EmulatedDaemon(this.site, {
        name: `daemon-${this.daemonNumber}`,
        seed: this.seed * 1_000 + this.daemonNumber,
        holdMaximumMs: this.scenario.holdMaximumMs,
        configuration: this.configuration,
        logLevel: 'fatal',
      }),
    );
  }

  private leader(): EmulatedDaemon | undefined {
    return this.daemons.find(({isLeader}) => isLeader);
  }

  private runPeriodically(intervalMs: number, task: () => void): void {
    this.timers.push(setInterval(task, intervalMs));
  }

  /** Submits jobs as a Poisson process until the load ends. */
  private async generateLoad(load: ScenarioLoad): Promise<void> {
    const endsAt = Date.now() + this.scenario.lengthS * SECOND_MS;
    for (;;) {
      const gapS = -Math.log(1 - this.random.next()) / load.jobsPerSecond;
      await pause(gapS * SECOND_MS);
      if (Date.now() >= endsAt) return;
      this.submit(load);
    }
  }

  private submit(load: ScenarioLoad): void {
    const number = this.jobs.length + 1;
    const jobId = trustedId<JobId>(number.toString(16).padStart(16, '0'));
    const estimateFactor =
      1 + ESTIMATE_ERROR_SHARE * (2 * this.random.next() - 1);
    const submission: Submission = {
      jobId,
      queueId: trustedId(load.queue),
      serviceId: trustedId(SERVICE),
      customerId: trustedId<CustomerId>(CUSTOMER),
      specification: 'text',
      steps: [
        {
          taskCount: load.tasks,
          shape: {
            processorMillicores: 1_000,
            memoryMegabytes: 1_000,
            accelerators: load.accelerators,
          },
          estimatedMs: load.workMs * estimateFactor,
          after: [],
          gang: load.gang,
          checkpointing: load.checkpointing,
        },
      ],
      occurrences: 0,
      firstDueAt: 0,
      intervalMs: 0,
      submittedAt: Date.now(),
    };
    this.site.ledger.jobSubmitted(submission, load.workMs);
    this.site.store.put(submittedKey(jobId), JSON.stringify(submission));
    this.jobs.push({
      jobId,
      load,
      sentAt: Date.now(),
      endedAt: undefined,
      isFailed: false,
    });
  }

  private checkJobStates(): void {
    const session = this.leader()?.leadership.session;
    if (session === undefined) return;
    for (const job of this.jobs) {
      if (job.endedAt !== undefined) continue;
      const state = session.stateOf(job.jobId);
      if (state !== undefined) this.site.ledger.checkState(job.jobId, state);
      if (state === 'complete') job.endedAt = Date.now();
      if (state === 'failed' && !job.isFailed) {
        job.isFailed = true;
        this.site.ledger.checkFailedJob(job.jobId, MAXIMUM_ATTEMPTS);
      }
    }
  }

  private countRunning(): number {
    let count = 0;
    for (const worker of this.site.workers.values()) {
      count += worker.runNames.length;
    }
    return count;
  }

  private scheduleFault(fault: ScenarioFault): void {
    this.timers.push(
      setTimeout(() => void this.injectFault(fault), fault.atS * SECOND_MS),
    );
  }

  private async injectFault(fault: ScenarioFault): Promise<void> {
    switch (fault.kind) {
      case 'storeDown': {
        const leader = this.leader();
        const targets = fault.leaderOnly
          ? this.daemons.filter((daemon) => daemon === leader)
          : [...this.daemons];
        for (const {storeFaults} of targets) storeFaults.down = fault.how;
        await pause(fault.forS * SECOND_MS);
        for (const {storeFaults} of targets) storeFaults.down = undefined;
        return;
      }
      case 'lostWrites':
        for (const {storeFaults} of this.daemons) {
          storeFaults.lostAnswers = fault.share;
          storeFaults.lateMs = fault.lateMs;
        }
        await pause(fault.forS * SECOND_MS);
        for (const {storeFaults} of this.daemons) storeFaults.lostAnswers = 0;
        return;
      case 'lateOrders':
        for (const {orderFaults} of this.daemons) {
          orderFaults.lateShare = fault.share;
          orderFaults.lateMs = fault.lateMs;
        }
        await pause(fault.forS * SECOND_MS);
        for (const {orderFaults} of this.daemons) orderFaults.lateShare = 0;
        return;
      case 'killLeader':
        await this.killLeader();
        return;
      case 'dropHistory':
        this.site.store.dropHistory();
        return;
      default:
        await this.injectWorkerFault(fault);
    }
  }

  private async killLeader(): Promise<void> {
    const leader = this.leader();
    if (leader === undefined) return;
    this.daemons.splice(this.daemons.indexOf(leader), 1);
    await leader.kill();
    this.addDaemon();
  }

  private async injectWorkerFault(
    fault: Extract<
      ScenarioFault,
      {kind: 'cutWorkers' | 'restartWorkers' | 'hangWorkers'}
    >,
  ): Promise<void> {
    const ids = this.chooseWorkers(fault.count);
    switch (fault.kind) {
      case 'restartWorkers':
        for (const workerId of ids) this.site.restart(workerId);
        return;
      case 'cutWorkers': {
        const sets = this.daemons.map(
          ({orderFaults}) => orderFaults.unreachable,
        );
        for (const set of sets) for (const id of ids) set.add(id);
        await pause(fault.forS * SECOND_MS);
        for (const set of sets) for (const id of ids) set.delete(id);
        return;
      }
      case 'hangWorkers':
        this.setHanging(ids, true);
        await pause(fault.forS * SECOND_MS);
        this.setHanging(ids, false);
    }
  }

  private setHanging(ids: readonly WorkerId[], hangs: boolean): void {
    for (const id of ids) {
      const worker = this.site.workers.get(id);
      if (worker !== undefined) worker.faults.hangs = hangs;
    }
  }

  private chooseWorkers(count: number): WorkerId[] {
    const ids = [...this.site.workers.keys()];
    const picked = new Set<WorkerId>();
    while (picked.size < Math.min(count, ids.length)) {
      const id = ids[this.random.nextBelow(ids.length)];
      if (id !== undefined) picked.add(id);
    }
    return [...picked];
  }

  private report(): ExperimentReport {
    const queues = this.scenario.load.map((load) => this.queueReport(load));
    const {violations, counts} = this.site.ledger;
    const {starts, wastedRuns} = counts;
    return {
      queues,
      violations,
      starts,
      wastedRuns,
      running: this.runningCounts,
    };
  }

  private queueReport(load: ScenarioLoad): QueueReport {
    const report: QueueReport = {
      queue: load.queue,
      asked: 0,
      inTime: 0,
      late: 0,
      open: 0,
      durations: build(),
    };
    for (const job of this.jobs) {
      if (job.load !== load) continue;
      report.asked += 1;
      if (job.endedAt === undefined) {
        report.open += 1;
        continue;
      }
      const durationMs = job.endedAt - job.sentAt;
      report.durations.recordValue(durationMs);
      if (durationMs <= load.workMs * load.objectiveFactor) report.inTime += 1;
      else report.late += 1;
    }
    return report;
  }
}

function configurationOf(scenario: Scenario): HostedConfiguration {
  return new HostedConfiguration(
    1,
    scenario.load.map((load) => ({
      queueId: trustedId(load.queue),
      host: `${load.queue}.example`,
      pathPrefix: '/',
      isPublic: true,
      serviceId: trustedId(SERVICE),
      priority: load.priority,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      objectiveFactor: load.objectiveFactor,
      targetLatencyMs: 0,
    })),
    [
      {
        customerId: trustedId(CUSTOMER),
        keys: [],
        guaranteedAccelerators: scenario.guaranteedAccelerators,
      },
    ],
    {maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  );
}
