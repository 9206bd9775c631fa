/**
 * How the losses of a job are recorded. A worker that ends takes many tasks of
 * a wide job with it, so what their losses have in common is written once for
 * the job, and each unit refers to it. A record that repeats it for each task
 * outgrows a value of the store after a few losses, and is never durable then.
 */

import type {
  LossReference,
  OpenUnitRecord,
  SharedLoss,
  WorkerLoss,
} from './records.js';

/** Collects what the losses of a job's units have in common. */
export class LossTable {
  private readonly indexes = new Map<string, number>();
  private readonly shared: SharedLoss[] = [];

  /** What `refer` refers to, in the order of the references. */
  get entries(): readonly SharedLoss[] {
    return this.shared;
  }

  refer({tasks, ...loss}: WorkerLoss): LossReference {
    const key = JSON.stringify(loss);
    let index = this.indexes.get(key);
    if (index === undefined) {
      index = this.shared.push(loss) - 1;
      this.indexes.set(key, index);
    }
    return [index, ...tasks];
  }
}

/** The losses of a recorded unit; earlier versions wrote them in full. */
export function lossesOf(
  {losses = [], lostTasks = []}: OpenUnitRecord,
  shared: readonly SharedLoss[],
): WorkerLoss[] {
  const referred = lostTasks.flatMap(([index, ...tasks]) => {
    const loss = shared[index];
    return loss === undefined ? [] : [{...loss, tasks}];
  });
  return [...losses, ...referred];
}
