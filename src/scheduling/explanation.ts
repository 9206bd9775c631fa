/**
 * Builds the explanation that operators get of why a job waits or where it
 * runs, and what would let it start.
 */

import type {Instant} from '../model/ids.js';
import {cellSizeFor} from '../model/shapes.js';
import type {JobExplanation} from '../interfaces/peer_client.js';
import {sizeOfLevel} from './cells.js';
import type {CellCounts} from './packing.js';
import type {PlannedJob} from './planned_job.js';
import type {ZoneState} from './zone_state.js';

/** A longer list of gangs does not help an operator. */
const MAXIMUM_GANGS_LISTED = 8;

export function explainJob(
  state: ZoneState,
  job: PlannedJob,
  now: Instant,
): JobExplanation {
  switch (job.stage) {
    case 'starting':
      return withSummary(job, `starts on ${listWorkers(job)}`);
    case 'running':
      return withSummary(
        job,
        `runs on ${listWorkers(job)} ${describeCapacityKind(job)}`,
      );
    case 'leaving':
      return withSummary(
        job,
        'is checkpointed and stopped for guaranteed work and runs again later',
      );
    case 'reclaiming':
      return explainAwaitingCell(
        state,
        job,
        'waits until borrowers have left its guaranteed cell',
      );
    case 'reserving':
      return explainAwaitingCell(
        state,
        job,
        'waited too long and has a reserved cell that others cannot use',
      );
    case 'queued':
      return explainQueued(state, job, now);
  }
}

function withSummary(job: PlannedJob, predicate: string): JobExplanation {
  return {
    jobId: job.jobId,
    summary: `Job ${job.jobId} ${predicate}.`,
    heldBy: [],
    freedBy: [],
  };
}

function explainAwaitingCell(
  state: ZoneState,
  job: PlannedJob,
  predicate: string,
): JobExplanation {
  const gangs =
    job.cell === undefined
      ? []
      : [...state.fullView.conflictingGangs(job, job.cell)].filter(
          (gang) => gang !== job,
        );
  return {
    ...withSummary(job, predicate),
    heldBy: limitListed(gangs.map((gang) => describeGang(gang))),
    freedBy: limitListed(gangs.map((gang) => describeEnd(state, gang))),
  };
}

function explainQueued(
  state: ZoneState,
  job: PlannedJob,
  now: Instant,
): JobExplanation {
  const {customerId} = job.record;
  if (cellSizeFor(job.record.shape) === undefined) {
    return withSummary(job, 'can never run because its gang fits no rack');
  }
  if (!state.mayStart(job)) {
    const ceiling = state.customers.get(customerId)?.acceleratorCeiling ?? 0;
    const inUse = state.usage.total(customerId);
    return {
      ...withSummary(
        job,
        `needs ${job.accelerators} accelerators, and customer ${customerId} ` +
          `uses ${inUse} of its ceiling of ${ceiling}`,
      ),
      heldBy: describeBlockingGangs(state, job),
      freedBy: [`the end of a gang of customer ${customerId}`],
    };
  }
  const {notBefore} = job.history;
  if (notBefore !== undefined && notBefore > now) {
    const seconds = Math.ceil((notBefore - now) / 1000);
    return {
      ...withSummary(
        job,
        `was preempted ${job.history.preemptions} times and is lent ` +
          `capacity again in ${seconds} s`,
      ),
      freedBy: [`free guaranteed cells of customer ${customerId}`],
    };
  }
  return explainLackOfCapacity(state, job);
}

function explainLackOfCapacity(
  state: ZoneState,
  job: PlannedJob,
): JobExplanation {
  const {customerId} = job.record;
  const largest = state.fullView.free.largestSize() ?? 0;
  const freedBy = [
    `the end of gangs so that ${job.cellSize} adjacent accelerators are free`,
  ];
  const owner = state.guarantees.ofCustomer(customerId);
  const guarantee = describeGuarantee(owner?.guaranteed ?? [], job);
  if (guarantee === 'is in use') {
    freedBy.push(`the end of a guaranteed gang of customer ${customerId}`);
  }
  const quarantined = state.health.quarantined();
  if (quarantined.length > 0) {
    freedBy.push(`the end of the quarantine of ${quarantined.join(', ')}`);
  }
  return {
    ...withSummary(
      job,
      `waits for a free cell of ${job.cellSize} accelerators; the largest ` +
        `free cell has ${largest} and the customer's guarantee ${guarantee}`,
    ),
    heldBy: describeBlockingGangs(state, job),
    freedBy,
  };
}

/** Completes "the customer's guarantee ..." for a job that cannot use it. */
function describeGuarantee(guaranteed: CellCounts, job: PlannedJob): string {
  const largest = guaranteed.findLastIndex((count) => count > 0);
  if (largest < 0) return 'does not cover this zone';
  const size = sizeOfLevel(largest);
  if (size < job.cellSize) return `has cells of ${size} at most`;
  return 'is in use';
}

/** Lists the customer's own gangs, then others at least as large as the job. */
function describeBlockingGangs(state: ZoneState, job: PlannedJob): string[] {
  const placed = [...state.jobs.values()].filter((other) => other.placed);
  const own = placed.filter(
    (other) => other.record.customerId === job.record.customerId,
  );
  const others = placed.filter(
    (other) => !own.includes(other) && other.cellSize >= job.cellSize,
  );
  return limitListed([...own, ...others].map((gang) => describeGang(gang)));
}

function limitListed(sentences: readonly string[]): string[] {
  if (sentences.length <= MAXIMUM_GANGS_LISTED) return [...sentences];
  const more = sentences.length - MAXIMUM_GANGS_LISTED;
  return [...sentences.slice(0, MAXIMUM_GANGS_LISTED), `${more} more`];
}

function describeGang(gang: PlannedJob): string {
  return (
    `job ${gang.jobId} of customer ${gang.record.customerId} holds ` +
    `${gang.accelerators} accelerators ${describeCapacityKind(gang)}`
  );
}

function describeEnd(state: ZoneState, gang: PlannedJob): string {
  if (gang.stage === 'leaving') {
    return `job ${gang.jobId} is being checkpointed and stopped`;
  }
  const estimateMs = state.runTimes.estimate(gang.record);
  const minutes = Math.max(1, Math.round(estimateMs / 60_000));
  return `the end of job ${gang.jobId}, which runs for about ${minutes} min`;
}

function describeCapacityKind(gang: PlannedJob): string {
  return gang.guaranteed ? 'as guaranteed' : 'on lent capacity';
}

function listWorkers(job: PlannedJob): string {
  const workers = job.placement?.tasks.map((task) => task.workerId) ?? [];
  return [...new Set(workers)].join(', ');
}
