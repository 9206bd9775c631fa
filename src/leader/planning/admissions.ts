/**
 * Obtains and caches admission tickets for queues whose policy restricts which
 * workers may run a step. The placement advisor is called when a unit cannot be
 * placed on the workers with known tickets, and for a limited batch of workers
 * at a time, because the duration of a call grows with the number of workers.
 */

import PQueue from 'p-queue';
import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../../lifecycle/clock.js';
import type {WorkerId} from '../../model/ids.js';
import type {AdvisorSettings, HostedConfiguration} from '../../model/queues.js';
import type {PlacementAdvisor} from '../../interfaces/placement_advisor.js';
import {MAXIMUM_WORKERS_PER_ADVICE} from '../../interfaces/placement_advisor.js';
import type {Unit} from '../jobs/jobs.js';
import type {LeaderLog} from '../leader_log.js';
import type {WorkerState} from '../workers/worker_state.js';

/** The placement objective allows one advisor call for every 30 workers. */
const WORKERS_PER_CALL = 30;

/** Added to the advisor's stated duration of a call. */
const CALL_TIMEOUT_MARGIN_MS = 1_000;

/** A ticket that expires sooner is not used; a new one is requested instead. */
const TICKET_EXPIRY_MARGIN_MS = 300;

interface HeldTicket {
  readonly ticket: string;
  /** Incarnation of the worker for which the ticket was issued. */
  readonly owner: number;
  readonly validUntil: SteadyTime;
}

interface StepAdmissions {
  readonly tickets: Map<WorkerId, HeldTicket>;
  /** Workers that the advisor did not admit, with the incarnation queried. */
  readonly refused: Map<WorkerId, number>;
  hasCallPending: boolean;
}

export class AdmissionTickets {
  private readonly steps = new Map<string, StepAdmissions>();
  /** The advisor serves one call of a VM at a time. */
  private readonly calls = new PQueue({concurrency: 1});

  constructor(
    private readonly advisor: PlacementAdvisor | undefined,
    private readonly configuration: () => HostedConfiguration | undefined,
    private readonly scope: CleanupScope,
    private readonly onTicketsChanged: () => void,
    private readonly log: LeaderLog,
  ) {
    scope.add(() => this.calls.clear());
  }

  /** True if the queue is unrestricted or a usable ticket is cached. */
  admits(unit: Unit, worker: WorkerState, now: SteadyTime): boolean {
    if (this.advisorSettings(unit) === undefined) return true;
    return this.ticketFor(unit, worker, now) !== undefined;
  }

  /** Returns the cached ticket, unless it is about to expire. */
  ticketFor(
    unit: Unit,
    worker: WorkerState,
    now: SteadyTime,
  ): string | undefined {
    const hit = this.steps.get(stepKey(unit))?.tickets.get(worker.workerId);
    if (hit === undefined || hit.owner !== worker.incarnation) return undefined;
    return now < hit.validUntil - TICKET_EXPIRY_MARGIN_MS
      ? hit.ticket
      : undefined;
  }

  /** Drops a ticket that the worker rejected. */
  discardTicket(unit: Unit, workerId: WorkerId): void {
    this.steps.get(stepKey(unit))?.tickets.delete(workerId);
  }

  /**
   * Requests tickets for workers that have no answer yet, those with the most
   * free accelerators first. Does nothing while a call for the step is pending.
   */
  requestTickets(
    unit: Unit,
    workers: Iterable<WorkerState>,
    now: SteadyTime,
  ): void {
    const settings = this.advisorSettings(unit);
    if (settings === undefined || this.advisor === undefined) return;
    const key = stepKey(unit);
    const admissions = this.steps.get(key) ?? {
      tickets: new Map(),
      refused: new Map(),
      hasCallPending: false,
    };
    this.steps.set(key, admissions);
    if (admissions.hasCallPending) return;
    const candidates = [...workers]
      .filter((worker) => this.needsAdvice(unit, worker, admissions, now))
      .sort(
        (a, b) => b.freeCapacity().accelerators - a.freeCapacity().accelerators,
      )
      .slice(0, Math.min(WORKERS_PER_CALL, MAXIMUM_WORKERS_PER_ADVICE));
    if (candidates.length === 0) return;
    admissions.hasCallPending = true;
    void this.calls.add(() =>
      this.callAdvisor(key, admissions, candidates, settings),
    );
  }

  /** Drops the cached answers for all steps of an ended job. */
  forgetJob(jobId: string): void {
    for (const key of this.steps.keys()) {
      if (key.startsWith(`${jobId}.`)) this.steps.delete(key);
    }
  }

  private async callAdvisor(
    key: string,
    admissions: StepAdmissions,
    candidates: readonly WorkerState[],
    settings: AdvisorSettings,
  ): Promise<void> {
    const sentAt = steadyNow();
    const incarnations = new Map(
      candidates.map(({workerId, incarnation}) => [workerId, incarnation]),
    );
    const answer = await this.advisor?.advise(
      key,
      [...incarnations.keys()],
      settings.decideMs +
        settings.perWorkerMs * candidates.length +
        CALL_TIMEOUT_MARGIN_MS,
    );
    admissions.hasCallPending = false;
    if (answer === undefined || this.scope.closed) return;
    if (answer.isErr) {
      this.log.adviceUnavailable(key, answer.error.message);
      return;
    }
    const admitted = new Map(
      answer.value.map(({workerId, ticket}) => [workerId, ticket]),
    );
    for (const [workerId, incarnation] of incarnations) {
      const ticket = admitted.get(workerId);
      if (ticket === undefined) {
        admissions.refused.set(workerId, incarnation);
      } else {
        const validUntil = steadyTime(sentAt + settings.validMs);
        admissions.tickets.set(workerId, {
          ticket,
          owner: incarnation,
          validUntil,
        });
      }
    }
    this.log.adviceReceived(key, candidates.length, admitted.size);
    this.onTicketsChanged();
  }

  private needsAdvice(
    unit: Unit,
    worker: WorkerState,
    admissions: StepAdmissions,
    now: SteadyTime,
  ): boolean {
    const {requiredLabel} = unit.step;
    const {entry} = worker;
    const queue = this.configuration()?.queue(unit.job.queueId);
    return (
      entry.serviceId === queue?.serviceId &&
      worker.accepts(now) &&
      (requiredLabel === undefined || entry.labels.has(requiredLabel)) &&
      admissions.refused.get(worker.workerId) !== worker.incarnation &&
      this.ticketFor(unit, worker, now) === undefined
    );
  }

  private advisorSettings(unit: Unit): AdvisorSettings | undefined {
    return this.configuration()?.queue(unit.job.queueId)?.advice;
  }
}

function stepKey({job, occurrence, stepIndex}: Unit): string {
  return `${job.id}.${occurrence}.${stepIndex}`;
}
