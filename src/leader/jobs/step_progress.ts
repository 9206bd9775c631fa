/**
 * Which steps of a job are done, and which wait for others. Both are known
 * without a look at all steps, as a job may have thousands that name thousands.
 */

import type {Step} from '../../model/submissions.js';

/** A step of one occurrence. */
class OccurringStep {
  /** Earlier steps of the occurrence that are not done. */
  awaited = 0;

  constructor(public openUnits: number) {}
}

export class StepProgress {
  /** By occurrence, then by step. */
  private readonly occurrences: OccurringStep[][] = [];
  /** For each step the ones that wait for it. */
  private readonly followers: readonly number[][];
  private openSteps = 0;

  constructor(private readonly steps: readonly Step[]) {
    this.followers = steps.map(() => []);
    steps.forEach(({after}, index) => {
      for (const earlier of new Set(after)) {
        this.followers[earlier]?.push(index);
      }
    });
  }

  /** `openUnits` has the number of units of each step. */
  addOccurrence(openUnits: readonly number[]): void {
    const added = openUnits.map((count) => new OccurringStep(count));
    this.occurrences.push(added);
    this.openSteps += openUnits.filter((count) => count > 0).length;
    this.steps.forEach((_step, index) => {
      if ((openUnits[index] ?? 0) === 0) return;
      for (const follower of this.followers[index] ?? []) {
        const waiting = added[follower];
        if (waiting !== undefined) waiting.awaited += 1;
      }
    });
  }

  /** True if all units of all occurrences are done. */
  get isComplete(): boolean {
    return this.openSteps === 0;
  }

  /** True if an earlier step of the occurrence is not done. */
  isWaiting(occurrence: number, stepIndex: number): boolean {
    return (this.occurrences[occurrence]?.[stepIndex]?.awaited ?? 0) > 0;
  }

  unitDone(occurrence: number, stepIndex: number): void {
    const steps = this.occurrences[occurrence];
    const step = steps?.[stepIndex];
    if (steps === undefined || step === undefined) return;
    step.openUnits -= 1;
    if (step.openUnits > 0) return;
    this.openSteps -= 1;
    for (const follower of this.followers[stepIndex] ?? []) {
      const waiting = steps[follower];
      if (waiting !== undefined) waiting.awaited -= 1;
    }
  }
}
