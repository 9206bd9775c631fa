/**
 * Emulated advisor of queues whose policy allows only some workers.
 */

import {Result} from 'true-myth';
import {PlacementAdvisor} from '../src/interfaces/placement_advisor.js';
import type {Admission} from '../src/interfaces/placement_advisor.js';
import type {StartOrder, WorkerEntry} from '../src/interfaces/task_worker.js';
import type {WorkerId} from '../src/model/ids.js';
import {pause} from './site.js';

/** Admits a fixed set of workers and issues tickets that expire. */
export class EmulatedAdvisor extends PlacementAdvisor {
  calls = 0;
  private readonly tickets = new Map<string, number>();

  constructor(
    private readonly allowed: ReadonlySet<WorkerId>,
    private readonly validMs: number,
  ) {
    super();
  }

  override async advise(
    step: string,
    workers: readonly WorkerId[],
  ): Promise<Result<readonly Admission[], never>> {
    this.calls += 1;
    await pause(5);
    const admitted = workers.filter((workerId) => this.allowed.has(workerId));
    return Result.ok(
      admitted.map((workerId) => {
        const ticket = `${step}/${workerId}/${this.calls}`;
        this.tickets.set(ticket, Date.now() + this.validMs);
        return {workerId, ticket};
      }),
    );
  }

  accepts(order: StartOrder, worker: WorkerEntry): boolean {
    const {ticket = '', task} = order;
    const [step = '', workerId] = ticket.split('/');
    const isValid = (this.tickets.get(ticket) ?? 0) > Date.now();
    return (
      isValid && workerId === worker.workerId && task.startsWith(`${step}.`)
    );
  }
}
