/**
 * Tickets for queues whose policy allows only some workers to run a step. The
 * advisor is asked when a unit finds no worker among those that are known, and
 * for few workers at a time, since it takes its time for each of them.
 */

import PQueue from 'p-queue';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {SteadyTime} from '../lifecycle/clock.js';
import {steadyNow, steadyTime} from '../lifecycle/clock.js';
import type {WorkerId} from '../model/ids.js';
import type {AdviceTerms, HostedConfiguration} from '../model/queues.js';
import type {PlacementAdvisor} from '../parties/placement_advisor.js';
import {MAXIMUM_WORKERS_PER_ADVICE} from '../parties/placement_advisor.js';
import type {Unit} from './jobs.js';
import type {LeaderLog} from './leader_log.js';
import type {WorkerState} from './worker_state.js';

/** Workers per call; the users' objective counts one call for 30 workers. */
const WORKERS_PER_CALL = 30;

/** Added to the time that the advisor states for a call. */
const CALL_MARGIN_MS = 1_000;

/** A ticket that ends sooner is renewed before it is used. */
const TICKET_MARGIN_MS = 300;

interface HeldTicket {
  readonly ticket: string;
  readonly life: number;
  readonly validUntil: SteadyTime;
}

interface StepAdvice {
  readonly tickets: Map<WorkerId, HeldTicket>;
  /** Workers that the advisor left out, by the life that was asked for. */
  readonly refused: Map<WorkerId, number>;
  isAsking: boolean;
}

export class Admissions {
  private readonly steps = new Map<string, StepAdvice>();
  /** The advisor handles one call of a VM at a time, in turn. */
  private readonly calls = new PQueue({concurrency: 1});

  constructor(
    private readonly advisor: PlacementAdvisor | undefined,
    private readonly configuration: () => HostedConfiguration | undefined,
    private readonly scope: CleanupScope,
    private readonly changed: () => void,
    private readonly log: LeaderLog,
  ) {
    scope.add(() => this.calls.clear());
  }

  /** True if the worker may run the unit now. */
  admits(unit: Unit, worker: WorkerState, now: SteadyTime): boolean {
    if (this.termsOf(unit) === undefined) return true;
    return this.ticketFor(unit, worker, now) !== undefined;
  }

  ticketFor(
    unit: Unit,
    worker: WorkerState,
    now: SteadyTime,
  ): string | undefined {
    const held = this.steps.get(stepName(unit))?.tickets.get(worker.workerId);
    if (held === undefined || held.life !== worker.life) return undefined;
    return now < held.validUntil - TICKET_MARGIN_MS ? held.ticket : undefined;
  }

  /** The worker did not take the ticket. */
  rejected(unit: Unit, workerId: WorkerId): void {
    this.steps.get(stepName(unit))?.tickets.delete(workerId);
  }

  /** Asks for workers that are not known yet, roomiest first. */
  request(unit: Unit, workers: Iterable<WorkerState>, now: SteadyTime): void {
    const terms = this.termsOf(unit);
    if (terms === undefined || this.advisor === undefined) return;
    const name = stepName(unit);
    const advice = this.steps.get(name) ?? {
      tickets: new Map(),
      refused: new Map(),
      isAsking: false,
    };
    this.steps.set(name, advice);
    if (advice.isAsking) return;
    const asked = [...workers]
      .filter((worker) => this.isWorthAsking(unit, worker, advice, now))
      .sort(
        (a, b) => b.freeCapacity().accelerators - a.freeCapacity().accelerators,
      )
      .slice(0, Math.min(WORKERS_PER_CALL, MAXIMUM_WORKERS_PER_ADVICE));
    if (asked.length === 0) return;
    advice.isAsking = true;
    void this.calls.add(() => this.ask(name, advice, asked, terms));
  }

  /** Forgets steps of jobs that are over. */
  forgetJob(jobId: string): void {
    for (const name of this.steps.keys()) {
      if (name.startsWith(`${jobId}.`)) this.steps.delete(name);
    }
  }

  private async ask(
    name: string,
    advice: StepAdvice,
    asked: readonly WorkerState[],
    terms: AdviceTerms,
  ): Promise<void> {
    const sentAt = steadyNow();
    const lives = new Map(asked.map(({workerId, life}) => [workerId, life]));
    const answer = await this.advisor?.advise(
      name,
      [...lives.keys()],
      terms.decideMs + terms.perWorkerMs * asked.length + CALL_MARGIN_MS,
    );
    advice.isAsking = false;
    if (answer === undefined || this.scope.closed) return;
    if (answer.isErr) {
      this.log.adviceUnavailable(name, answer.error.message);
      return;
    }
    const admitted = new Map(
      answer.value.map(({workerId, ticket}) => [workerId, ticket]),
    );
    for (const [workerId, life] of lives) {
      const ticket = admitted.get(workerId);
      if (ticket === undefined) {
        advice.refused.set(workerId, life);
      } else {
        const validUntil = steadyTime(sentAt + terms.validMs);
        advice.tickets.set(workerId, {ticket, life, validUntil});
      }
    }
    this.log.adviceReceived(name, asked.length, admitted.size);
    this.changed();
  }

  private isWorthAsking(
    unit: Unit,
    worker: WorkerState,
    advice: StepAdvice,
    now: SteadyTime,
  ): boolean {
    const {requiredLabel} = unit.step;
    const {entry} = worker;
    const queue = this.configuration()?.queue(unit.job.queueId);
    return (
      entry.serviceId === queue?.serviceId &&
      worker.accepts(now) &&
      (requiredLabel === undefined || entry.labels.has(requiredLabel)) &&
      advice.refused.get(worker.workerId) !== worker.life &&
      this.ticketFor(unit, worker, now) === undefined
    );
  }

  private termsOf(unit: Unit): AdviceTerms | undefined {
    return this.configuration()?.queue(unit.job.queueId)?.advice;
  }
}

function stepName({job, occurrence, stepIndex}: Unit): string {
  return `${job.id}.${occurrence}.${stepIndex}`;
}
