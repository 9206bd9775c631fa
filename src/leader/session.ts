/**
 * One term of leadership: adopts what earlier leaders recorded, follows new
 * jobs and workers, plans in rounds, and makes every end durable before a
 * worker may forget it. A session ends when another leader may exist.
 */

import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {Clock, SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';
import type {Instant, JobId, QueueId, WorkerId} from '../model/ids.js';
import {instant, trustedId} from '../model/ids.js';
import type {HostedConfiguration} from '../model/queues.js';
import type {JobStateName, Submission} from '../model/submissions.js';
import {submissionSchema} from '../model/submissions.js';
import type {
  CoordinationStore,
  StoredItem,
} from '../parties/coordination_store.js';
import type {
  RunEnding,
  TaskWorkerClient,
  WorkerEntry,
} from '../parties/task_worker.js';
import type {WorkerDirectory} from '../parties/worker_directory.js';
import {CommitQueue} from './commit_queue.js';
import type {Unit} from './jobs.js';
import {Job, Run} from './jobs.js';
import {planRound} from './placement.js';
import type {Placement} from './placement.js';
import {
  INBOX_PREFIX,
  PROGRESS_PREFIX,
  decodeRecord,
  parseInboxKey,
  progressKey,
  progressSchema,
} from './records.js';
import {PrefixFollower} from './prefix_follower.js';
import type {LeaderLog} from './leader_log.js';
import {WorkerLink} from './worker_link.js';
import {WorkerState, longestLapseMs} from './worker_state.js';

/** Attempts of a task whose queue is in no configuration any more. */
const ATTEMPTS_WITHOUT_QUEUE = 3;

/** How often lapses, drains and standstills are looked for. */
const TICK_MS = 200;

/** A worker that answers progresses by a percent far more often than this. */
const STANDSTILL_MS = 3_500;

/** A failed task waits this long, times its failures, before the next run. */
const RETRY_WAIT_MS = 100;

/** Time that a checkpointing task is stopped before its worker leaves. */
const EVACUATION_MS = 900;

export interface SessionSettings {
  /** Longest lease that a worker grants. */
  readonly holdMaximumMs: number;
}

export interface SessionParties {
  readonly store: CoordinationStore;
  readonly workers: TaskWorkerClient;
  readonly directory: WorkerDirectory;
  readonly clock: Clock;
  readonly log: LeaderLog;
}

/** Whether this daemon is the only one that may act, asked before each act. */
export interface Authority {
  readonly term: number;
  /** Revision of the leader's key in this term. */
  readonly leaderRevision: number;
  isCertain(now: SteadyTime): boolean;
  /** Ends the term: another leader was elected. */
  lose(reason: string): void;
}

export class LeaderSession {
  private readonly jobs = new Map<JobId, Job>();
  /** Jobs that have not ended, in order of acceptance. */
  private readonly openJobs = new Set<Job>();
  private readonly workers = new Map<WorkerId, WorkerState>();
  private readonly links = new Map<WorkerId, WorkerLink>();
  private readonly commits: CommitQueue;
  private roundTimer: NodeJS.Timeout | undefined;
  private isRoundQueued = false;
  private isAdopted = false;

  constructor(
    private readonly parties: SessionParties,
    private readonly settings: SessionSettings,
    private readonly authority: Authority,
    private readonly configuration: () => HostedConfiguration | undefined,
    private readonly scope: CleanupScope,
  ) {
    const {store, log} = parties;
    this.commits = new CommitQueue(store, authority.leaderRevision, scope, {
      deposed: () => authority.lose('another leader holds the key'),
      delayed: (reason) => log.commitDelayed(reason),
    });
    scope.add(() => clearTimeout(this.roundTimer));
  }

  /** True once the records of earlier leaders were read. */
  get isReady(): boolean {
    return this.isAdopted;
  }

  get openJobCount(): number {
    return this.openJobs.size;
  }

  /** Reads everything, then follows changes until the scope closes. */
  async run(): Promise<void> {
    const started = steadyNow();
    const {store, directory, log} = this.parties;
    const workers = new PrefixFollower(
      {
        list: async () =>
          (await directory.list()).map(({entries, revision}) => ({
            state: entries,
            revision,
          })),
        watch: (revision, waitMs, signal) =>
          directory.watch(revision, waitMs, signal),
      },
      this.scope,
      (reason) => log.storeUnanswered('workers', reason),
    );
    const inbox = new PrefixFollower(
      {
        list: async () =>
          (await store.list(INBOX_PREFIX)).map(({items, revision}) => ({
            state: items,
            revision,
          })),
        watch: async (revision, waitMs, signal) =>
          (await store.watch(INBOX_PREFIX, revision, waitMs, signal)).map(
            (answer) =>
              answer.kind === 'historyLost'
                ? answer
                : {
                    kind: 'changes' as const,
                    changes: answer.events.flatMap((event) =>
                      event.kind === 'written' ? [event.item] : [],
                    ),
                    revision: answer.revision,
                  },
          ),
      },
      this.scope,
      (reason) => log.storeUnanswered('jobs', reason),
    );
    const progress = await this.readProgress();
    if (progress === undefined) return;
    await workers.start(
      (entries) => this.replaceWorkers(entries),
      (changes) => {
        for (const change of changes) {
          if (change.kind === 'present') this.workerPresent(change.entry);
          else this.workerAbsent(change.workerId);
        }
        this.queueRound();
      },
    );
    await inbox.start(
      (items) => this.readInbox(items, progress),
      (items) => this.readInbox(items, progress),
    );
    if (this.scope.closed) return;
    progress.clear();
    this.isAdopted = true;
    log.adopted(this.jobs.size, this.placedRuns(), steadyNow() - started);
    this.scope.every(TICK_MS, () => this.tick());
    this.queueRound();
  }

  stateOf(jobId: JobId): JobStateName | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined || !this.isAdopted) return undefined;
    // A final state is shown only once its record is durable.
    if (job.isEnded && !this.durableEnds.has(jobId)) return 'running';
    return job.state;
  }

  /** Accepted jobs of the queue of which no task has started. */
  pendingOf(queueId: QueueId): number {
    let count = 0;
    for (const job of this.openJobs) {
      if (job.queueId === queueId && !job.hasBegun) count += 1;
    }
    return count;
  }

  customerOf(jobId: JobId): string | undefined {
    return this.jobs.get(jobId)?.customerId;
  }

  private readonly durableEnds = new Set<JobId>();

  /** Removes jobs that ended before `endedBefore`, with their records. */
  endedBefore(endedBefore: Instant): Job[] {
    const old: Job[] = [];
    for (const job of this.jobs.values()) {
      const isOld = job.endedAt !== undefined && job.endedAt < endedBefore;
      if (isOld && !job.hasRuns && this.durableEnds.has(job.id)) old.push(job);
    }
    return old;
  }

  forget(job: Job): void {
    this.jobs.delete(job.id);
    this.durableEnds.delete(job.id);
  }

  // Reading records.

  private async readProgress(): Promise<Map<string, StoredItem> | undefined> {
    while (!this.scope.closed) {
      const listed = await this.parties.store.list(PROGRESS_PREFIX);
      if (listed.isOk) {
        return new Map(listed.value.items.map((item) => [item.key, item]));
      }
      this.parties.log.storeUnanswered('progress', listed.error.message);
      await this.scope.sleep(TICK_MS);
    }
    return undefined;
  }

  private readInbox(
    items: readonly StoredItem[],
    progress: ReadonlyMap<string, StoredItem>,
  ): void {
    for (const item of items) {
      const parsed = parseInboxKey(item.key);
      if (parsed?.kind === 'submitted')
        this.submitted(item, parsed.jobId, progress);
    }
    for (const item of items) {
      const parsed = parseInboxKey(item.key);
      if (parsed?.kind === 'cancelled') this.cancelled(parsed.jobId);
    }
    this.queueRound();
  }

  private submitted(
    item: StoredItem,
    jobId: JobId,
    progress: ReadonlyMap<string, StoredItem>,
  ): void {
    if (this.jobs.has(jobId)) return;
    const decoded = decodeRecord(item.key, item.value, submissionSchema);
    if (decoded.isErr) {
      this.parties.log.unreadableRecord(decoded.error.message);
      return;
    }
    const submission: Submission = decoded.value;
    const job = new Job(submission, instant(submission.submittedAt));
    this.jobs.set(jobId, job);
    const record = progress.get(progressKey(jobId));
    if (record !== undefined) this.restore(job, record);
    if (job.isEnded) {
      if (record === undefined) this.writeEnd(job);
      else this.durableEnds.add(jobId);
    } else {
      this.openJobs.add(job);
    }
  }

  private restore(job: Job, record: StoredItem): void {
    job.recordRevision = record.revision;
    const decoded = decodeRecord(record.key, record.value, progressSchema);
    if (decoded.isErr) {
      this.parties.log.unreadableRecord(decoded.error.message);
      return;
    }
    for (const run of job.restore(decoded.value, this.now())) {
      this.adoptRun(run);
    }
  }

  /** The run may be on its worker until the worker says otherwise. */
  private adoptRun(run: Run): void {
    let worker = this.workers.get(run.workerId);
    if (worker === undefined) {
      worker = new WorkerState(absentEntry(run));
      worker.isListed = false;
      this.workers.set(run.workerId, worker);
    }
    if (worker.isKnown) this.assumeLeases(worker);
    worker.add(run);
    if (worker.isListed) this.linkTo(worker).watch();
  }

  private assumeLeases(worker: WorkerState): void {
    const lapseMs = longestLapseMs(this.settings.holdMaximumMs);
    worker.assumeLeasesUntil(steadyTime(steadyNow() + lapseMs));
  }

  // Workers.

  private replaceWorkers(entries: readonly WorkerEntry[]): void {
    const present = new Set(entries.map(({workerId}) => workerId));
    for (const workerId of this.workers.keys()) {
      if (!present.has(workerId)) this.workerAbsent(workerId);
    }
    for (const entry of entries) this.workerPresent(entry);
    this.queueRound();
  }

  private workerPresent(entry: WorkerEntry): void {
    const worker = this.workers.get(entry.workerId);
    if (worker === undefined) {
      this.workers.set(entry.workerId, new WorkerState(entry));
      return;
    }
    const steady = steadyNow();
    const reborn = worker.update(entry, steady);
    if (worker.runs.size === 0) return;
    const link = this.linkTo(worker);
    if (reborn) {
      // An order may have reached the new life already; its list decides.
      this.assumeLeases(worker);
      link.lookAgain();
    }
    link.watch();
  }

  private workerAbsent(workerId: WorkerId): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined) return;
    worker.isListed = false;
    if (worker.runs.size > 0) return;
    this.workers.delete(workerId);
    this.links.get(workerId)?.close();
    this.links.delete(workerId);
    this.parties.workers.forget(worker.entry);
  }

  private linkTo(worker: WorkerState): WorkerLink {
    let link = this.links.get(worker.workerId);
    if (link === undefined) {
      link = new WorkerLink(
        worker,
        this.parties.workers,
        this.authority,
        this.settings.holdMaximumMs,
        this.scope,
        {
          runEnded: (run, ending, checkpoint) =>
            this.runEnded(run, ending, checkpoint),
          runLost: (run, reason) => this.runLost(run, reason),
          runStarted: (run) => this.runStarted(run),
          whenDurable: (then) => this.commits.afterPending(then),
          changed: () => this.queueRound(),
          now: () => this.now(),
        },
        this.parties.log,
      );
      this.links.set(worker.workerId, link);
    }
    return link;
  }

  // Runs.

  private runStarted(run: Run): void {
    const {job} = run.unit;
    if (job.state === 'queued') job.state = 'running';
    if (job.isEnded || run.unit.isDone) this.stopRun(run);
  }

  private runEnded(run: Run, ending: RunEnding, checkpoint: string): void {
    const worker = this.workers.get(run.workerId);
    worker?.remove(run);
    const {unit} = run;
    const {job} = unit;
    const wasEnded = job.isEnded;
    const now = this.now();
    const failed = job.runEnded(
      run,
      ending,
      checkpoint,
      this.maximumAttempts(job),
      now,
    );
    this.parties.log.runEnded(run, ending, unit.failures);
    if (failed) {
      unit.retryAt = instant(now + RETRY_WAIT_MS * unit.failures);
      if (worker?.countFailure(job.id, steadyNow()) === true) {
        this.parties.log.quarantined(worker, 'runs of different jobs failed');
      }
    } else if (ending === 'done') {
      worker?.countSuccess();
    }
    this.settle(run, wasEnded);
  }

  private runLost(run: Run, reason: string): void {
    const {unit} = run;
    const wasEnded = unit.job.isEnded;
    this.parties.log.runLost(run, reason);
    unit.job.runEnded(run, 'lost', run.checkpoint, Infinity, this.now());
    this.settle(run, wasEnded);
  }

  /** Stops what became pointless, and writes the job's record. */
  private settle(run: Run, wasEnded: boolean): void {
    const {unit} = run;
    const {job} = unit;
    unit.readySince = undefined;
    if (!wasEnded && job.isEnded) this.jobEnded(job);
    else {
      // The rest of a gang cannot go on without the member that ended.
      if (!unit.isDone)
        for (const member of [...unit.runs]) this.stopRun(member);
      this.commits.write(job);
    }
    this.queueRound();
  }

  private jobEnded(job: Job): void {
    this.openJobs.delete(job);
    this.parties.log.jobEnded(job, this.now());
    for (const unit of job.openUnits) {
      for (const run of [...unit.runs]) this.stopRun(run);
    }
    this.writeEnd(job);
  }

  private writeEnd(job: Job): void {
    this.commits.write(job, () => this.durableEnds.add(job.id));
  }

  private stopRun(run: Run): void {
    if (run.phase === 'stopping') return;
    const worker = this.workers.get(run.workerId);
    if (worker === undefined) return;
    if (run.phase === 'planned') {
      // Nothing was sent; the start is dropped when its commit returns.
      worker.remove(run);
      run.unit.removeRun(run);
      return;
    }
    this.linkTo(worker).stop(run);
  }

  private cancelled(jobId: JobId): void {
    const job = this.jobs.get(jobId);
    if (job === undefined || job.isCancelRequested) return;
    job.isCancelRequested = true;
    if (job.isEnded) return;
    job.end('cancelled', this.now());
    this.jobEnded(job);
  }

  private maximumAttempts(job: Job): number {
    const queue = this.configuration()?.queue(job.queueId);
    return queue?.maximumAttempts ?? ATTEMPTS_WITHOUT_QUEUE;
  }

  // Rounds.

  private queueRound(): void {
    if (this.isRoundQueued || this.scope.closed) return;
    this.isRoundQueued = true;
    // One round handles everything that arrived in this turn of the loop.
    setImmediate(() => {
      this.isRoundQueued = false;
      if (!this.scope.closed) this.round();
    });
  }

  private round(): void {
    const configuration = this.configuration();
    const steady = steadyNow();
    if (!this.isAdopted || configuration === undefined) return;
    if (!this.authority.isCertain(steady)) return;
    const now = this.now();
    const plan = planRound({
      jobs: this.openJobs,
      workers: this.workers,
      configuration,
      now,
      steady,
    });
    for (const run of plan.preemptions) {
      this.parties.log.preempted(run);
      this.stopRun(run);
    }
    for (const placement of plan.placements) this.start(placement, now);
    this.wakeAt(plan.nextDueAt, now);
  }

  private wakeAt(dueAt: Instant | undefined, now: Instant): void {
    clearTimeout(this.roundTimer);
    if (dueAt === undefined) return;
    const waitMs = Math.min(Math.max(1, dueAt - now), 60_000);
    this.roundTimer = setTimeout(() => this.queueRound(), waitMs);
  }

  /** Records the placement; the starts are sent once it is durable. */
  private start({unit, workers}: Placement, now: Instant): void {
    const {job} = unit;
    const number = unit.nextRun(this.authority.term);
    unit.lastRun = number;
    const runs = workers.map((worker, offset) => {
      const run = newRun(unit, offset, number, worker, now);
      unit.runs.push(run);
      worker.add(run);
      return run;
    });
    this.parties.log.placed(unit, number, workers, now);
    this.commits.write(job, () => this.sendStarts(runs));
  }

  private sendStarts(runs: readonly Run[]): void {
    for (const run of runs) {
      const worker = this.workers.get(run.workerId);
      const isCurrent = run.unit.runs.includes(run);
      if (worker === undefined || !isCurrent || run.phase !== 'planned')
        continue;
      if (run.unit.job.isEnded) this.stopRun(run);
      else this.linkTo(worker).start(run);
    }
  }

  // Time.

  private tick(): void {
    const steady = steadyNow();
    const now = this.now();
    for (const worker of [...this.workers.values()]) {
      if (worker.runs.size === 0) {
        if (!worker.isListed) this.workerAbsent(worker.workerId);
        else if (!worker.isKnown) worker.becomeKnown(0);
        continue;
      }
      if (steady >= worker.lapsesAt()) this.lapse(worker);
      else this.inspect(worker, now, steady);
    }
    if (this.openJobs.size > 0) this.queueRound();
  }

  /** All leases on the worker have lapsed, so nothing of ours runs there. */
  private lapse(worker: WorkerState): void {
    const confirmed = [...worker.runs.values()].filter(
      ({phase}) => phase !== 'planned',
    );
    if (confirmed.length === 0) return;
    this.parties.log.leasesLapsed(worker);
    worker.becomeUnknown();
    for (const run of confirmed) {
      worker.remove(run);
      this.runLost(run, 'its lease has lapsed');
    }
  }

  private inspect(worker: WorkerState, now: Instant, steady: SteadyTime): void {
    const remainingMs = worker.remainingMs(steady);
    for (const run of [...worker.runs.values()]) {
      if (run.phase !== 'running') continue;
      const leaves = remainingMs !== undefined && remainingMs < EVACUATION_MS;
      if (leaves && run.step.checkpointing === true) {
        this.stopUnit(run, 'its worker leaves');
      } else if (this.standsStill(run, now)) {
        worker.quarantine(steady);
        run.unit.avoided.add(worker.workerId);
        this.parties.log.quarantined(worker, `${run.task} stands still`);
        this.stopUnit(run, 'it makes no progress');
      }
    }
  }

  private standsStill(run: Run, now: Instant): boolean {
    if (run.step.longRunning === true) return false;
    if (now - run.percentChangedAt < STANDSTILL_MS) return false;
    return run.unit.runs.every(({phase}) => phase === 'running');
  }

  private stopUnit(run: Run, reason: string): void {
    this.parties.log.stopped(run, reason);
    for (const member of [...run.unit.runs]) this.stopRun(member);
  }

  private placedRuns(): number {
    let runs = 0;
    for (const worker of this.workers.values()) runs += worker.runs.size;
    return runs;
  }

  private now(): Instant {
    return this.parties.clock.now();
  }
}

function newRun(
  unit: Unit,
  offset: number,
  number: number,
  worker: WorkerState,
  now: Instant,
): Run {
  const {workerId, life} = worker;
  return new Run(unit, unit.firstIndex + offset, number, workerId, life, now);
}

/** Stands for a worker that a record names and the directory does not. */
function absentEntry(run: Run): WorkerEntry {
  return {
    workerId: run.workerId,
    life: run.life,
    address: '',
    serviceId: run.unit.job.serviceId,
    zone: trustedId('unknown'),
    rackId: undefined,
    labels: new Set(),
    capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0},
    isDraining: false,
    remainingMs: undefined,
  };
}
